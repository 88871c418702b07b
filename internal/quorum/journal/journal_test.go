package journal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/quorumtest"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/matryer/is"
)

const dir = "data"

func entries(from, to int) []replica.Entry {
	var es []replica.Entry
	for i := from; i <= to; i++ {
		es = append(es, replica.Entry{Kind: replica.Command, Term: 1, Index: quorum.Index(i), Data: []byte(fmt.Sprint("command ", i))})
	}
	return es
}

// newTestJournal returns a journal with n entries, each saved separately, and its
// disk.
func newTestJournal(is *is.I, n int) (*quorumtest.Disk, *journal.Journal) {
	d := quorumtest.NewDisk()
	j, _, err := journal.Open(d, dir)
	is.NoErr(err)
	for i := 1; i <= n; i++ {
		is.NoErr(j.Save(replica.State{Term: 1, Vote: 2, Commit: quorum.Index(i - 1)}, entries(i, i)))
	}
	return d, j
}

func compact(j *journal.Journal) error {
	p, err := j.PrepareSnapshot(replica.Snapshot{Index: 15, Term: 1, State: []byte("state")})
	if err != nil {
		return err
	}
	return j.Compact(p, entries(11, 20))
}

func segmentFile(is *is.I, d *quorumtest.Disk) string {
	for _, name := range d.Files() {
		if strings.HasSuffix(name, ".log") {
			return name
		}
	}
	is.Fail()
	return ""
}

// TestTornTail guards against an unsynced tail that prevents a voter from
// starting, and against a truncated record that is read as a complete one.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	d, j := newTestJournal(is, 3)
	intact, _ := d.Read(segmentFile(is, d))
	d.FailSyncs(1)
	is.True(j.Save(replica.State{Term: 2, Commit: 2}, entries(4, 5)) != nil)
	torn, _ := d.Read(segmentFile(is, d))
	for n := len(intact); n <= len(torn); n++ {
		c := d.Copy()
		c.Edit(segmentFile(is, c), func([]byte) []byte { return torn[:n] })
		_, stored, err := journal.Open(c, dir)
		is.NoErr(err)
		want := 3
		if n == len(torn) {
			want = 5
		}
		is.Equal(stored.Entries, entries(1, want))
		is.Equal(stored.DroppedBytes > 0, n > len(intact) && n < len(torn))
	}
}

// TestDamage guards against synced records that are dropped silently because they
// are damaged. It damages each byte of the segment in turn, and expects an error
// with the file and an offset at or before that byte. Only the last marker record may be lost:
// it was not synced.
func TestDamage(t *testing.T) {
	is := is.New(t)
	d, _ := newTestJournal(is, 3)
	name := segmentFile(is, d)
	intact, _ := d.Read(name)
	shorter, _ := newTestJournal(is, 2)
	twoRecords, _ := shorter.Read(name) // the third record starts at its end
	for i := range intact {
		c, _ := newTestJournal(is, 3)
		c.Edit(name, func(b []byte) []byte { b[i] ^= 0x20; return b })
		_, stored, err := journal.Open(c, dir)
		var corrupt *journal.CorruptError
		if !errors.As(err, &corrupt) {
			is.NoErr(err)
			is.Equal(stored.Entries, entries(1, 3)) // only the last marker is damaged
			is.True(i > len(twoRecords))
			continue
		}
		is.Equal(corrupt.File, name)
		is.True(corrupt.Offset <= int64(i))
	}
}

// TestMissing guards against removed or truncated files that Open does not detect.
func TestMissing(t *testing.T) {
	is := is.New(t)
	d, j := newTestJournal(is, 20)
	is.NoErr(compact(j))
	for _, name := range d.Files() {
		c := d.Copy()
		is.NoErr(c.Remove(name))
		_, _, err := journal.Open(c, dir)
		var corrupt *journal.CorruptError
		is.True(errors.As(err, &corrupt)) // a removed file must be detected
	}
	for _, name := range d.Files() {
		c := d.Copy()
		c.Edit(name, func(b []byte) []byte { return b[:len(b)/2] })
		_, _, err := journal.Open(c, dir)
		is.True(err != nil) // a truncated file must be detected
	}
}

// TestRefusesAfterFailure guards against further use of a journal after a failed
// sync.
func TestRefusesAfterFailure(t *testing.T) {
	is := is.New(t)
	d, j := newTestJournal(is, 3)
	d.FailSyncs(1)
	is.True(j.Save(replica.State{Term: 2}, nil) != nil)
	is.True(j.Save(replica.State{Term: 2}, nil) != nil)
	is.True(compact(j) != nil)
}

// TestCrashAnywhere guards against data loss when a compaction, the installation of
// a snapshot or the start of a segment is interrupted: after each number of disk
// operations and a power loss, the folder must hold the state before or after.
func TestCrashAnywhere(t *testing.T) {
	is := is.New(t)
	for k := range 40 {
		for seed := range uint64(5) {
			d, j := newTestJournal(is, 20)
			d.FailAfter(k)
			err := compact(j)
			if err == nil {
				err = j.InstallSnapshot(replica.Snapshot{Index: 50, Term: 3}, replica.State{Term: 4, Commit: 50})
			}
			d.FailAfter(-1)
			d.PowerLoss(rand.New(rand.NewPCG(seed, 1)))
			j, stored, openErr := journal.Open(d, dir)
			is.NoErr(openErr)
			checkRecovered(is, stored, err == nil)
			is.NoErr(j.Save(replica.State{Term: 5, Commit: stored.State.Commit}, nil))
		}
	}
}

func checkRecovered(is *is.I, s journal.Stored, completed bool) {
	if s.Snapshot.Index == 50 {
		is.Equal(len(s.Entries), 0)
		is.Equal(s.State.Commit, quorum.Index(50))
		return
	}
	is.True(!completed)
	is.Equal(s.State, replica.State{Term: 1, Vote: 2, Commit: 19})
	is.Equal(s.Entries[len(s.Entries)-1], entries(20, 20)[0])
	is.True(s.Entries[0].Index <= s.Snapshot.Index+1)
}

// TestSegments guards against entries that are lost when a new segment is started,
// on a real disk, and against a second process in the same folder.
func TestSegments(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	lock, err := journal.OS{}.Lock(folder)
	is.NoErr(err)
	_, err = journal.OS{}.Lock(folder)
	is.True(err != nil)
	is.NoErr(lock.Close())
	groupDir := filepath.Join(folder, "group")
	j, _, err := journal.Open(journal.OS{}, groupDir)
	is.NoErr(err)
	big := make([]byte, 7<<20)
	for i := 1; i <= 6; i++ {
		is.NoErr(j.Save(replica.State{Term: 1}, []replica.Entry{{Kind: replica.Command, Term: 1, Index: quorum.Index(i), Data: big}}))
	}
	is.NoErr(j.Close())
	_, stored, err := journal.Open(journal.OS{}, groupDir)
	is.NoErr(err)
	is.Equal(len(stored.Entries), 6)
}

// TestIdentity guards against the loss of parts of an identity and against
// undetected damage to it.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	d := quorumtest.NewDisk()
	id := journal.Identity{
		Folder: 7, Voter: 3, Replaced: true, Groups: []quorum.GroupID{"config"}, Damage: "none",
		Folders: map[quorum.VoterID]journal.FolderID{1: 9},
	}
	is.NoErr(journal.SaveIdentity(d, dir, id))
	got, err := journal.LoadIdentity(d, dir)
	is.NoErr(err)
	is.Equal(got, id)
	d.Edit(d.Files()[0], func(b []byte) []byte { b[len(b)-1]++; return b })
	_, err = journal.LoadIdentity(d, dir)
	is.True(err != nil)
}
