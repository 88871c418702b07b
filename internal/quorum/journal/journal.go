// Package journal stores the log, term, vote and snapshots of a replica in a
// directory.
//
//	j, stored, err := journal.Open(journal.OS{}, dir)
//	err = j.Save(state, entries)        // returns once both are synced
//	p, err := j.Prepare(snapshot)
//	err = j.Compact(p, retained) // replaces the log before the snapshot
//
// The log is a chain of segment files. A record holds a state and entries under
// one checksum, the number of its segment and the length of the segment that was
// synced before. Snapshots, identity and new segments are written under
// temporary names, synced and renamed.
//
// Open detects these faults and returns a *CorruptError with file and offset:
// a damaged record followed by a proof that it was synced, a damaged snapshot or
// identity, a missing segment or snapshot, a log that does not reach its
// snapshot, and entries that replace committed ones. A damaged tail without such
// a proof is what a crash leaves of a write that was never acknowledged; Open
// drops it. After each sync the journal writes a mark as proof, but does not sync
// the mark itself.
//
// Open can't detect that the whole directory was put back to an older state,
// that the newest segment was cut at a record boundary, that a disk dropped the
// newest records although it had acknowledged their sync, or damage to the newest
// record when a power loss also took the mark after it. A leader notices such a
// voter when its log is shorter than what it acknowledged to that leader
// (replica.LostError). Nobody notices when that leader is gone before the voter
// returns.
//
// When a write or sync fails, the state of the file is unknown: the journal then
// refuses further use until it is opened again. Open copies what it read to a
// new segment and syncs it, because pages that the system failed to write may
// still be readable.
package journal

import (
	"fmt"
	"path/filepath"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
)

const (
	snapshotName    = "snapshot"
	preparedName    = "snapshot.prepared"
	installedName   = "snapshot.installed"
	temporarySuffix = ".tmp"
	segmentSuffix   = ".log"
	segmentBytes    = 16 << 20
)

// Stored is what a journal held when it was opened.
type Stored struct {
	State    replica.State
	Snapshot replica.Snapshot
	// Entries may start before the end of Snapshot.
	Entries []replica.Entry
	// Dropped is the length in bytes of the unsynced tail that was dropped.
	Dropped int
}

// Journal appends to the log in a directory. It is not safe for concurrent use.
type Journal struct {
	disk    Disk
	dir     string
	segment uint64
	file    File
	size    uint64
	synced  uint64
	state   replica.State
	failure error
}

// Open reads the journal in dir, or starts an empty one.
func Open(d Disk, dir string) (*Journal, Stored, error) {
	if err := d.MakeDir(dir); err != nil {
		return nil, Stored{}, errors.Wrap(err, "journal")
	}
	s, last, err := load(d, dir)
	if err != nil {
		return nil, Stored{}, err
	}
	j := &Journal{disk: d, dir: dir, segment: last, state: s.State}
	if err := j.rebase(s.base, s.Entries); err != nil {
		return nil, Stored{}, errors.Wrap(err, "journal")
	}
	return j, s.Stored, nil
}

// Save appends the state and entries and syncs them. The first entry replaces
// those at and after its index.
func (j *Journal) Save(st replica.State, es []replica.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	j.state = st
	r := &peerv1.JournalRecord{State: stateToProto(st), Entries: entriesToProto(es)}
	if err := j.write(r); err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	j.synced = j.size
	// The mark proves that the record before it was synced. It needs no sync of
	// its own: after a kill it is in the page cache, after a power loss the next
	// record serves as proof.
	if err := j.write(&peerv1.JournalRecord{}); err != nil {
		return j.fail(err)
	}
	if j.size >= segmentBytes {
		return j.rotate()
	}
	return nil
}

// Prepared is a snapshot that is stored, but not in force yet.
type Prepared struct {
	Snapshot replica.Snapshot
	name     string
}

// Prepare stores a snapshot of the own state machine under a temporary name. It
// may run while other methods are called, so that a large snapshot does not hold
// up the log.
func (j *Journal) Prepare(s replica.Snapshot) (Prepared, error) {
	return j.prepare(s, preparedName, false)
}

// Compact puts a prepared snapshot in force and drops all entries but the retained
// ones, which must reach from the snapshot or before to the end of the log.
func (j *Journal) Compact(p Prepared, retained []replica.Entry) error {
	base := position{p.Snapshot.Index, p.Snapshot.Term}
	if len(retained) > 0 {
		base = position{index: retained[0].Index - 1}
	}
	return j.replace(p, base, retained)
}

// Install stores a snapshot in place of the whole log, and the state with it.
func (j *Journal) Install(s replica.Snapshot, st replica.State) error {
	if j.failure != nil {
		return j.failure
	}
	j.state = st
	p, err := j.prepare(s, installedName, true)
	if err != nil {
		return j.fail(err)
	}
	return j.replace(p, position{s.Index, s.Term}, nil)
}

// Close closes the file. Everything saved is synced already.
func (j *Journal) Close() error {
	j.failure = errors.New("journal is closed")
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) prepare(s replica.Snapshot, name string, installed bool) (Prepared, error) {
	content, err := appendFrame(nil, &peerv1.JournalSnapshot{Snapshot: replica.SnapshotToProto(&s), Installed: installed})
	if err != nil {
		return Prepared{}, err
	}
	f, err := replaceFile(j.disk, j.dir, name, content)
	if err != nil {
		return Prepared{}, errors.Wrapf(err, "snapshot in %s", j.dir)
	}
	return Prepared{Snapshot: s, name: name}, f.Close()
}

func (j *Journal) replace(p Prepared, base position, retained []replica.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	j.state.Commit = max(j.state.Commit, p.Snapshot.Index)
	if err := j.disk.Rename(filepath.Join(j.dir, p.name), filepath.Join(j.dir, snapshotName)); err != nil {
		return j.fail(err)
	}
	if err := j.disk.SyncDir(j.dir); err != nil {
		return j.fail(err)
	}
	if err := j.rebase(base, retained); err != nil {
		return j.fail(err)
	}
	return nil
}

// rebase starts a segment that replaces all segments before it.
func (j *Journal) rebase(base position, es []replica.Entry) error {
	err := j.start(&peerv1.JournalRecord{
		Base:  &peerv1.JournalBase{Index: uint64(base.index), Term: uint64(base.term)},
		State: stateToProto(j.state), Entries: entriesToProto(es),
	})
	if err != nil {
		return err
	}
	return j.removeBefore(j.segment)
}

// rotate starts the next segment.
func (j *Journal) rotate() error {
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	err := j.start(&peerv1.JournalRecord{State: stateToProto(j.state), PreviousBytes: j.size})
	if err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) start(first *peerv1.JournalRecord) error {
	first.Segment = j.segment + 1
	content, err := appendFrame(nil, first)
	if err != nil {
		return err
	}
	f, err := replaceFile(j.disk, j.dir, segmentName(first.Segment), content)
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = f
	j.segment = first.Segment
	j.size = uint64(len(content))
	j.synced = j.size
	return nil
}

func (j *Journal) removeBefore(segment uint64) error {
	numbers, err := segments(j.disk, j.dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= segment {
			break
		}
		if err := j.disk.Remove(filepath.Join(j.dir, segmentName(n))); err != nil {
			return err
		}
	}
	return j.disk.SyncDir(j.dir)
}

func (j *Journal) write(r *peerv1.JournalRecord) error {
	r.Segment = j.segment
	r.Synced = j.synced
	b, err := appendFrame(nil, r)
	if err != nil {
		return err
	}
	if _, err := j.file.Write(b); err != nil {
		return err
	}
	j.size += uint64(len(b))
	return nil
}

// fail makes the journal refuse further use. A retried sync may succeed without
// having written the pages of the failed one.
func (j *Journal) fail(err error) error {
	j.failure = errors.Wrapf(err, "journal %s failed and can't be used any more", j.dir)
	return j.failure
}

func segmentName(n uint64) string {
	return fmt.Sprintf("%016d%s", n, segmentSuffix)
}

func stateToProto(s replica.State) *peerv1.JournalState {
	return &peerv1.JournalState{Term: uint64(s.Term), Vote: uint64(s.Vote), Commit: uint64(s.Commit)}
}

func entriesToProto(es []replica.Entry) []*peerv1.Entry {
	ps := make([]*peerv1.Entry, len(es))
	for i, e := range es {
		ps[i] = replica.EntryToProto(e)
	}
	return ps
}
