// Package journal stores the log, term, vote and snapshots of a replica in a
// directory.
//
//	j, stored, err := journal.Open(journal.OS{}, dir)
//	err = j.Save(state, entries) // returns once both are synced
//	p, err := j.PrepareSnapshot(snapshot)
//	err = j.Compact(p, retained) // replaces the log before the snapshot
//
// The log is a chain of segment files. Each record has one checksum and holds a
// state, entries, the number of its segment, and the length of the segment that
// had been synced when the record was written. Snapshots, the identity and new
// segments are written under temporary names, synced and renamed.
//
// Open detects the following faults and returns a *CorruptError with file and
// offset: a damaged record that a later record proves to have been synced, a
// damaged snapshot or identity, a missing segment or snapshot, a log that ends
// before its snapshot, and entries that replace committed ones. A damaged tail
// without such a proof is the remainder of an unacknowledged write that a crash
// interrupted; Open drops it. After each sync the journal appends a marker record
// as proof, but does not sync the marker itself.
//
// Open can't detect that the whole directory was restored to an older state, that
// the newest segment was truncated at a record boundary, that a disk lost the
// newest records after it had acknowledged their sync, or that the newest record
// is damaged if a power loss also removed the marker after it. A leader detects
// such a voter when the voter's log is shorter than what it acknowledged to that
// leader (replica.LostEntriesError). The fault goes undetected if that leader has
// lost its leadership before the voter returns.
//
// After a failed write or sync the content of the file is unknown, so the journal
// rejects further use until it is opened again. Open copies what it read to a new
// segment and syncs it, because pages that the operating system failed to write
// may still be readable from its cache.
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
	segmentBytes    = 16 << 20 // size at which a new segment is started
)

// Stored is the content of a journal when it was opened.
type Stored struct {
	State    replica.State
	Snapshot replica.Snapshot
	// Entries may include entries that Snapshot already covers.
	Entries []replica.Entry
	// DroppedBytes is the length of the unsynced tail that was dropped.
	DroppedBytes int
}

// Journal appends to the log in a directory. It is not safe for concurrent use.
type Journal struct {
	disk    Disk
	dir     string
	segment uint64 // number of the current segment
	file    File   // the current segment
	size    uint64 // bytes in the current segment
	synced  uint64 // bytes of the current segment that are synced
	state   replica.State
	failure error // set when the journal can no longer be used
}

// Open reads the journal in dir, or creates an empty one.
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
// all stored entries from its index on.
func (j *Journal) Save(st replica.State, es []replica.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	j.state = st
	r := &peerv1.JournalRecord{State: stateToProto(st), Entries: entriesToProto(es)}
	if err := j.appendRecord(r); err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	j.synced = j.size
	// This empty marker record proves that the record before it was synced. The
	// marker needs no sync: if the process is killed, the marker is in the page
	// cache; after a power loss, the next record serves as proof.
	if err := j.appendRecord(&peerv1.JournalRecord{}); err != nil {
		return j.fail(err)
	}
	if j.size >= segmentBytes {
		return j.rotate()
	}
	return nil
}

// PreparedSnapshot is a snapshot that is stored but does not replace the log yet.
type PreparedSnapshot struct {
	Snapshot replica.Snapshot
	name     string
}

// PrepareSnapshot stores a snapshot of the local state machine under a temporary name. It
// may run concurrently with other methods, so that a large snapshot does not
// block the log.
func (j *Journal) PrepareSnapshot(s replica.Snapshot) (PreparedSnapshot, error) {
	return j.writeSnapshot(s, preparedName, false)
}

// Compact makes a prepared snapshot the current one and drops all entries except
// the retained ones, which must extend from the snapshot or earlier to the end of
// the log.
func (j *Journal) Compact(p PreparedSnapshot, retained []replica.Entry) error {
	base := position{p.Snapshot.Index, p.Snapshot.Term}
	if len(retained) > 0 {
		base = position{index: retained[0].Index - 1}
	}
	return j.activateSnapshot(p, base, retained)
}

// InstallSnapshot replaces the whole log with a snapshot from the leader and stores the
// state.
func (j *Journal) InstallSnapshot(s replica.Snapshot, st replica.State) error {
	if j.failure != nil {
		return j.failure
	}
	j.state = st
	p, err := j.writeSnapshot(s, installedName, true)
	if err != nil {
		return j.fail(err)
	}
	return j.activateSnapshot(p, position{s.Index, s.Term}, nil)
}

// Close closes the current segment. All saved data is synced already.
func (j *Journal) Close() error {
	j.failure = errors.New("journal is closed")
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) writeSnapshot(s replica.Snapshot, name string, installed bool) (PreparedSnapshot, error) {
	content, err := appendFrame(nil, &peerv1.JournalSnapshot{Snapshot: replica.SnapshotToProto(&s), Installed: installed})
	if err != nil {
		return PreparedSnapshot{}, err
	}
	f, err := replaceFile(j.disk, j.dir, name, content)
	if err != nil {
		return PreparedSnapshot{}, errors.Wrapf(err, "snapshot in %s", j.dir)
	}
	return PreparedSnapshot{Snapshot: s, name: name}, f.Close()
}

// activateSnapshot makes a prepared snapshot the current one and starts a segment
// that holds the retained entries.
func (j *Journal) activateSnapshot(p PreparedSnapshot, base position, retained []replica.Entry) error {
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

// rebase starts a segment that replaces all earlier segments, and removes them.
func (j *Journal) rebase(base position, es []replica.Entry) error {
	err := j.startSegment(&peerv1.JournalRecord{
		Base:  &peerv1.JournalBase{Index: uint64(base.index), Term: uint64(base.term)},
		State: stateToProto(j.state), Entries: entriesToProto(es),
	})
	if err != nil {
		return err
	}
	return j.removeBefore(j.segment)
}

// rotate syncs the current segment, so that its length is final, and starts the
// next one.
func (j *Journal) rotate() error {
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	err := j.startSegment(&peerv1.JournalRecord{State: stateToProto(j.state), PreviousBytes: j.size})
	if err != nil {
		return j.fail(err)
	}
	return nil
}

func (j *Journal) startSegment(first *peerv1.JournalRecord) error {
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
	numbers, err := listSegments(j.disk, j.dir)
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

func (j *Journal) appendRecord(r *peerv1.JournalRecord) error {
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

// fail makes the journal reject further use. A retried sync may report success
// although the pages of the failed sync were never written.
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
