package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
)

// position names an entry. The term may be 0 when it is not needed.
type position struct {
	index quorum.Index
	term  quorum.Term
}

type loaded struct {
	Stored
	base position
}

type segment struct {
	number  uint64
	name    string
	records []*peerv1.JournalRecord
	offsets []int64
	size    int
	dropped int
}

// load reads a directory and returns what it holds, and the number of its last
// segment.
func load(d Disk, dir string) (loaded, uint64, error) {
	var l loaded
	s, err := loadSnapshot(d, dir)
	if err != nil {
		return l, 0, err
	}
	if s.GetSnapshot() != nil {
		l.Snapshot = *replica.SnapshotFromProto(s.GetSnapshot())
	}
	list, err := loadSegments(d, dir)
	if err != nil {
		return l, 0, err
	}
	if len(list) == 0 && s.GetSnapshot() == nil {
		return l, 0, nil
	}
	if err := checkChain(dir, list); err != nil {
		return l, 0, err
	}
	if err := l.replay(list); err != nil {
		return l, 0, err
	}
	last := list[len(list)-1]
	if err := l.join(last, s.GetInstalled()); err != nil {
		return l, 0, err
	}
	l.Dropped = last.dropped
	return l, last.number, nil
}

func loadSnapshot(d Disk, dir string) (*peerv1.JournalSnapshot, error) {
	name := filepath.Join(dir, snapshotName)
	b, err := d.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	var s peerv1.JournalSnapshot
	return &s, readWhole(name, b, &s)
}

// loadSegments reads the segments from the newest one that replaces all before
// it. Older ones are left over from a crash, and their tails may be damaged.
func loadSegments(d Disk, dir string) ([]segment, error) {
	numbers, err := segments(d, dir)
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	var list []segment
	for i := len(numbers) - 1; i >= 0; i-- {
		s, err := loadSegment(d, dir, numbers[i], i == len(numbers)-1)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
		if s.records[0].GetBase() != nil {
			slices.Reverse(list)
			return list, nil
		}
		if i == 0 || numbers[i-1] != numbers[i]-1 {
			return nil, missing(dir, numbers[i]-1)
		}
	}
	return nil, nil
}

// loadSegment reads the records of one segment. Only the last segment may end
// with a damaged record, and only if nothing proves that it was synced.
func loadSegment(d Disk, dir string, number uint64, last bool) (segment, error) {
	s := segment{number: number, name: filepath.Join(dir, segmentName(number))}
	b, err := d.Read(s.name)
	if err != nil {
		return s, errors.Wrap(err, "journal")
	}
	s.size = len(b)
	for offset := 0; offset < len(b); {
		r, n := readRecord(b[offset:], number)
		if n == 0 {
			if offset == 0 || !last || syncedAfter(b, offset, number) {
				return s, &CorruptError{File: s.name, Offset: int64(offset), Reason: "damaged record in the synced part"}
			}
			s.dropped = len(b) - offset
			break
		}
		if r.GetSynced() > uint64(offset) {
			return s, &CorruptError{File: s.name, Offset: int64(offset), Reason: "synced records before this one are missing"}
		}
		s.records = append(s.records, r)
		s.offsets = append(s.offsets, int64(offset))
		offset += n
	}
	if len(s.records) == 0 {
		return s, &CorruptError{File: s.name, Reason: "segment is empty"}
	}
	return s, nil
}

// checkChain checks that no segment lost its end.
func checkChain(dir string, list []segment) error {
	if len(list) == 0 {
		return &CorruptError{File: dir, Reason: "there is a snapshot, but all segments are missing"}
	}
	for i, s := range list[1:] {
		if size := s.records[0].GetPreviousBytes(); size != uint64(list[i].size) {
			return &CorruptError{
				File: list[i].name, Offset: int64(list[i].size),
				Reason: fmt.Sprintf("segment had %d bytes when it was closed", size),
			}
		}
	}
	return nil
}

func (l *loaded) replay(list []segment) error {
	for _, s := range list {
		for i, r := range s.records {
			if err := l.apply(r); err != nil {
				return &CorruptError{File: s.name, Offset: s.offsets[i], Reason: err.Error()}
			}
		}
	}
	return nil
}

func (l *loaded) apply(r *peerv1.JournalRecord) error {
	if b := r.GetBase(); b != nil {
		l.base = position{quorum.Index(b.GetIndex()), quorum.Term(b.GetTerm())}
		l.Entries = nil
	}
	for _, p := range r.GetEntries() {
		if err := l.append(replica.EntryFromProto(p)); err != nil {
			return err
		}
	}
	if p := r.GetState(); p != nil {
		st := replica.State{
			Term: quorum.Term(p.GetTerm()), Vote: quorum.VoterID(p.GetVote()), Commit: quorum.Index(p.GetCommit()),
		}
		if st.Term < l.State.Term || st.Commit < l.State.Commit {
			return errors.Errorf("term %d and commit index %d are older than those before", st.Term, st.Commit)
		}
		l.State = st
	}
	return nil
}

func (l *loaded) append(e replica.Entry) error {
	last := l.base.index + quorum.Index(len(l.Entries))
	if e.Index <= l.base.index || e.Index > last+1 {
		return errors.Errorf("entry %d follows entry %d", e.Index, last)
	}
	k := e.Index - l.base.index - 1
	if e.Index <= l.State.Commit && e.Index <= last && l.Entries[k].Term != e.Term {
		return errors.Errorf("entry %d replaces a committed entry", e.Index)
	}
	l.Entries = append(l.Entries[:k], e)
	return nil
}

// join checks that the log and the snapshot fit together. A log that ends before
// an installed snapshot or differs from it was to be replaced when the process
// ended. A snapshot of the own state machine never goes beyond the log.
func (l *loaded) join(last segment, installed bool) error {
	s := l.Snapshot
	end := l.base.index + quorum.Index(len(l.Entries))
	if l.base.index > s.Index {
		return &CorruptError{
			File:   filepath.Join(filepath.Dir(last.name), snapshotName),
			Reason: fmt.Sprintf("snapshot ends at entry %d, but the log starts after entry %d", s.Index, l.base.index),
		}
	}
	if end < s.Index && !installed {
		return &CorruptError{
			File: last.name, Offset: int64(last.size - last.dropped),
			Reason: fmt.Sprintf("log ends at entry %d before its snapshot at entry %d", end, s.Index),
		}
	}
	k := s.Index - l.base.index
	if end < s.Index || k > 0 && l.Entries[k-1].Term != s.Term {
		l.Entries = nil
		l.base = position{s.Index, s.Term}
		end = s.Index
	}
	l.State.Commit = max(l.State.Commit, s.Index)
	if l.State.Commit > end {
		return &CorruptError{
			File: last.name, Offset: int64(last.size - last.dropped),
			Reason: fmt.Sprintf("log ends at entry %d before the commit index %d", end, l.State.Commit),
		}
	}
	return nil
}

// segments returns the numbers of the segments in order.
func segments(d Disk, dir string) ([]uint64, error) {
	names, err := d.List(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		text, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Errorf("unexpected file %s in %s", name, dir)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func missing(dir string, number uint64) error {
	return &CorruptError{File: filepath.Join(dir, segmentName(number)), Reason: "segment is missing"}
}
