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

// position identifies a log entry. The term may be 0 where it is not needed.
type position struct {
	index quorum.Index
	term  quorum.Term
}

// recoveredLog is the log as read from the segments so far. Entries start after
// base.
type recoveredLog struct {
	Stored
	base position
}

// segment is the content of one segment file.
type segment struct {
	number       uint64
	name         string
	records      []*peerv1.JournalRecord
	offsets      []int64 // of the records, in bytes
	size         int     // bytes
	droppedBytes int     // length of the damaged tail
}

// load reads the journal in a directory. It returns its content and the number
// of its last segment.
func load(d Disk, dir string) (recoveredLog, uint64, error) {
	var l recoveredLog
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
	if err := l.replaySegments(list); err != nil {
		return l, 0, err
	}
	last := list[len(list)-1]
	if err := l.reconcileSnapshot(last, s.GetInstalled()); err != nil {
		return l, 0, err
	}
	l.DroppedBytes = last.droppedBytes
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
	return &s, decodeFile(name, b, &s)
}

// loadSegments reads the segments from the newest one that replaces all earlier
// ones. The earlier ones were left behind by a crash, and their tails may be
// damaged.
func loadSegments(d Disk, dir string) ([]segment, error) {
	numbers, err := listSegments(d, dir)
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
			return nil, missingSegment(dir, numbers[i]-1)
		}
	}
	return nil, nil
}

// loadSegment reads the records of one segment. Only the last segment may end
// with a damaged record, and only if no later record proves that it was synced.
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
			if offset == 0 || !last || provenSynced(b, offset, number) {
				return s, &CorruptError{File: s.name, Offset: int64(offset), Reason: "damaged record in the synced part"}
			}
			s.droppedBytes = len(b) - offset
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

// checkChain checks that no segment but the last was truncated: each segment
// records the length of the previous one.
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

func (l *recoveredLog) replaySegments(list []segment) error {
	for _, s := range list {
		for i, r := range s.records {
			if err := l.applyRecord(r); err != nil {
				return &CorruptError{File: s.name, Offset: s.offsets[i], Reason: err.Error()}
			}
		}
	}
	return nil
}

func (l *recoveredLog) applyRecord(r *peerv1.JournalRecord) error {
	if b := r.GetBase(); b != nil {
		l.base = position{quorum.Index(b.GetIndex()), quorum.Term(b.GetTerm())}
		l.Entries = nil
	}
	for _, p := range r.GetEntries() {
		if err := l.appendEntry(replica.EntryFromProto(p)); err != nil {
			return err
		}
	}
	if p := r.GetState(); p != nil {
		st := replica.State{
			Term: quorum.Term(p.GetTerm()), Vote: quorum.VoterID(p.GetVote()), Commit: quorum.Index(p.GetCommit()),
		}
		if st.Term < l.State.Term || st.Commit < l.State.Commit {
			return errors.Errorf("term %d or commit index %d is lower than in an earlier record", st.Term, st.Commit)
		}
		l.State = st
	}
	return nil
}

func (l *recoveredLog) appendEntry(e replica.Entry) error {
	last := l.base.index + quorum.Index(len(l.Entries))
	if e.Index <= l.base.index || e.Index > last+1 {
		return errors.Errorf("log is not contiguous: entry %d follows entry %d", e.Index, last)
	}
	k := e.Index - l.base.index - 1
	if e.Index <= l.State.Commit && e.Index <= last && l.Entries[k].Term != e.Term {
		return errors.Errorf("entry %d replaces a committed entry", e.Index)
	}
	l.Entries = append(l.Entries[:k], e)
	return nil
}

// reconcileSnapshot checks the log against the snapshot. A log that ends before
// an installed snapshot or conflicts with it is discarded, because the process
// ended before it replaced the log. A snapshot of the local state machine must
// not extend beyond the log.
func (l *recoveredLog) reconcileSnapshot(last segment, installed bool) error {
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
			File: last.name, Offset: int64(last.size - last.droppedBytes),
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
			File: last.name, Offset: int64(last.size - last.droppedBytes),
			Reason: fmt.Sprintf("log ends at entry %d before the commit index %d", end, l.State.Commit),
		}
	}
	return nil
}

// listSegments returns the segment numbers in a directory, sorted.
func listSegments(d Disk, dir string) ([]uint64, error) {
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

func missingSegment(dir string, number uint64) error {
	return &CorruptError{File: filepath.Join(dir, segmentName(number)), Reason: "segment is missing"}
}
