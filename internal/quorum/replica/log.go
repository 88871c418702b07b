package replica

import (
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// log holds the entries after index base. Entries up to stable are synced.
type log struct {
	base      quorum.Index
	baseTerm  quorum.Term
	entries   []Entry
	stable    quorum.Index
	commit    quorum.Index
	delivered quorum.Index // committed entries up to here were returned by Effects
}

func (l *log) last() quorum.Index {
	return l.base + quorum.Index(len(l.entries))
}

func (l *log) lastTerm() quorum.Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i and reports whether it is known.
func (l *log) term(i quorum.Index) (quorum.Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *log) matches(i quorum.Index, t quorum.Term) bool {
	got, ok := l.term(i)
	return ok && got == t
}

// slice returns entries from index lo on, limited to maxBytes of data but at
// least one entry.
func (l *log) slice(lo quorum.Index, maxBytes int) []Entry {
	if lo <= l.base || lo > l.last() {
		return nil
	}
	rest := l.entries[lo-l.base-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *log) append(es ...Entry) {
	l.entries = append(l.entries, es...)
}

// truncate drops the entries after i. It copies the slice because messages may
// still refer to the dropped entries.
func (l *log) truncate(i quorum.Index) {
	kept := l.entries[:i-l.base]
	l.entries = append(make([]Entry, 0, len(kept)+16), kept...)
	l.stable = min(l.stable, i)
}

// compact drops the entries up to and including i.
func (l *log) compact(i quorum.Index) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// reset empties the log so that it continues after entry i of term t.
func (l *log) reset(i quorum.Index, t quorum.Term) {
	*l = log{base: i, baseTerm: t, stable: i, commit: i, delivered: i}
}

// findConflict returns the largest index up to i whose entry has a term of at most
// t, and the term of that entry.
func (l *log) findConflict(i quorum.Index, t quorum.Term) (quorum.Index, quorum.Term) {
	i = min(i, l.last())
	for ; i > l.base; i-- {
		if got, _ := l.term(i); got <= t {
			return i, got
		}
	}
	if i < l.base {
		return i, 0
	}
	return l.base, l.baseTerm
}
