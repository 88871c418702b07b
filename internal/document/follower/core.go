package follower

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// relayCount is the number of instances of a data centre that fetch from
	// voters.
	relayCount = 2
	// surveyCount bounds the peers that a started instance asks.
	surveyCount = 8
	// otherCount bounds the instances besides relays and voters that are asked
	// because they have a higher revision.
	otherCount = 3

	pollWait     = 4 * time.Second
	fetchTimeout = 2 * time.Second
	shortPause   = 200 * time.Millisecond
	longPause    = time.Second
	// faultPause is the pause after a second document in a row that can't be
	// put into force, so that whole documents are not fetched all the time.
	faultPause = 10 * time.Second
)

// core decides which peers are asked and what their replies change. It does not
// wait and sends nothing.
type core struct {
	cell   *board.Cell[document.Config]
	doc    document.Document
	parsed map[fleet.TeamID]parsed
	// whole asks for the whole document, after a difference that did not fit.
	whole bool
	// faults counts the unusable replies in a row.
	faults int
	// attempt counts the sources that were of no use in a row.
	attempt int
	status  Status
}

// parsed is a section that was parsed before, with its text.
type parsed struct {
	text   string
	result *section.Parsed
}

// plan says which peers to ask, all at once, and how.
type plan struct {
	peers []membership.Member
	after fleet.Revision
	// wait is the time for which a peer may hold its reply until it has news.
	wait time.Duration
}

// result is the reply of one peer.
type result struct {
	from  membership.Member
	reply Reply
	err   error
}

func newCore(cell *board.Cell[document.Config]) *core {
	return &core{cell: cell, parsed: make(map[fleet.TeamID]parsed)}
}

// plan returns whom to ask next. A core that is not ready asks several peers, so
// that it starts with the highest revision among them.
func (c *core) plan(self membership.Member, members []membership.Member) plan {
	p := plan{after: c.doc.Revision}
	if c.whole {
		p.after = 0
	}
	sources, others := sourcesOf(self, members, c.doc.Revision)
	if c.status.State != Ready {
		p.peers = survey(append(sources, others...), c.attempt)
		return p
	}
	sources = append(sources, others[:min(len(others), otherCount)]...)
	if len(sources) > 0 {
		p.peers = []membership.Member{sources[c.attempt%len(sources)]}
		p.wait = pollWait
	}
	return p
}

// survey returns the peers that a started instance asks. Each attempt asks others
// when there are too many for one.
func survey(list []membership.Member, attempt int) []membership.Member {
	if len(list) <= surveyCount {
		return list
	}
	var peers []membership.Member
	for i := range surveyCount {
		peers = append(peers, list[(attempt*surveyCount+i)%len(list)])
	}
	return peers
}

// take uses the results of a plan and returns the pause before the next plan.
func (c *core) take(p plan, results []result, members []membership.Member, now time.Time) time.Duration {
	answered, best := false, fleet.Revision(0)
	news := false
	for _, r := range results {
		if r.err != nil {
			continue
		}
		answered = true
		best = max(best, r.reply.Document.Revision)
		news = c.apply(p, r, now) || news
	}
	c.status.Highest = max(c.doc.Revision, best, highest(members))
	if answered && best >= c.doc.Revision {
		c.status.Confirmed = now
	}
	c.decideReady(answered, best)
	switch {
	case news:
		c.attempt = 0
		return 0
	case c.faults > 0:
		c.attempt++
		if c.faults > 1 {
			return faultPause
		}
		return shortPause
	case !answered || best < c.status.Highest:
		// The source is lost or behind what gossip tells.
		c.attempt++
		return longPause
	}
	return shortPause
}

// decideReady makes the core ready once it has the highest revision that any
// reachable peer offered.
func (c *core) decideReady(answered bool, best fleet.Revision) {
	switch {
	case c.status.State == Ready:
	case !answered:
		c.status.State = Alone
	case c.doc.Revision >= best:
		c.status.State = Ready
	default:
		c.status.State = Behind
	}
}

// apply puts a reply into force when it is newer and sound.
func (c *core) apply(p plan, r result, now time.Time) bool {
	if r.reply.Document.Revision <= c.doc.Revision {
		return false
	}
	if !r.reply.Full && p.after != c.doc.Revision {
		return false // made for a document that another reply replaced
	}
	next, err := merge(c.doc, r.reply)
	if err == nil {
		err = c.enforce(next)
	}
	if err != nil {
		c.whole = true
		c.faults++
		c.status.Fault = errors.Wrapf(err, "revision %d from %s", r.reply.Document.Revision, r.from.ID).Error()
		return false
	}
	c.whole = false
	c.faults = 0
	c.status.Fault = ""
	c.status.Revision, c.status.Since, c.status.Source = next.Revision, now, r.from.ID
	return true
}

// enforce checks a document whole and puts it on the board.
func (c *core) enforce(next document.Document) error {
	cache := make(map[fleet.TeamID]parsed, len(next.Sections))
	var list []*section.Parsed
	for _, s := range next.Sections {
		known, ok := c.parsed[s.Team]
		if !ok || known.text != s.Text {
			result, err := section.Parse(s.Team, s.Text)
			if err != nil {
				return errors.Wrapf(err, "section of team %s", s.Team)
			}
			known = parsed{text: s.Text, result: result}
		}
		cache[s.Team] = known
		list = append(list, known.result)
	}
	if err := section.Cross(list, ""); err != nil {
		return err
	}
	config, err := section.Build(next.Revision, list)
	if err != nil {
		return err
	}
	newer := func(old *document.Config) bool { return old == nil || old.Revision < next.Revision }
	if !c.cell.Advance(config, newer) {
		return errors.New("a newer configuration is in force")
	}
	c.doc, c.parsed = next, cache
	return nil
}

// since returns what changed in the document after a revision.
func (c *core) since(after fleet.Revision) Reply {
	r := Reply{Document: document.Document{Revision: c.doc.Revision}, Full: after == 0}
	for _, s := range c.doc.Sections {
		if s.Revision > after {
			r.Document.Sections = append(r.Document.Sections, s)
		}
	}
	return r
}

// merge returns old with the sections of a reply. The newest section of a
// document always has the revision of the document, so a reply in which it has
// another one is not complete or damaged.
func merge(old document.Document, r Reply) (document.Document, error) {
	next := document.Document{Revision: r.Document.Revision}
	replaced := make(map[fleet.TeamID]bool)
	newest := fleet.Revision(0)
	for _, s := range r.Document.Sections {
		if replaced[s.Team] {
			return next, errors.Errorf("reply has two sections of team %s", s.Team)
		}
		if !r.Full && s.Revision <= old.Revision {
			return next, errors.Errorf("section of team %s has revision %d", s.Team, s.Revision)
		}
		replaced[s.Team] = true
		newest = max(newest, s.Revision)
		next.Sections = append(next.Sections, s)
	}
	if newest != next.Revision {
		return next, errors.Errorf("newest section has revision %d, the reply %d", newest, next.Revision)
	}
	for _, s := range old.Sections {
		if !r.Full && !replaced[s.Team] {
			next.Sections = append(next.Sections, s)
		}
	}
	slices.SortFunc(next.Sections, func(a, b document.Section) int { return cmp.Compare(a.Team, b.Team) })
	return next, nil
}

// sourcesOf returns the peers to ask, the best first, and other peers with a
// higher revision. A voter asks itself, relays ask voters, and all others ask the
// relays of their data centre.
func sourcesOf(self membership.Member, members []membership.Member, own fleet.Revision) (list, others []membership.Member) {
	var voters, relays []membership.Member
	chosen := relaysOf(self.DataCentre, members)
	for _, m := range members {
		usable := m.Status == membership.Alive || m.Status == membership.Suspect
		switch {
		case !usable || m.ID == self.ID:
		case m.Voter:
			voters = append(voters, m)
		case contains(chosen, m.ID):
			relays = append(relays, m)
		case m.Revision > own:
			others = append(others, m)
		}
	}
	if self.Voter {
		list = append(list, self)
	}
	prefer(self, voters)
	prefer(self, relays)
	prefer(self, others)
	if self.Voter || contains(chosen, self.ID) {
		list = append(append(list, voters...), relays...)
	} else {
		list = append(append(list, relaysFirst(chosen, voters, relays)...), voters...)
	}
	return unique(list), others
}

// relaysFirst returns the relays of the data centre, voters among them included.
func relaysFirst(chosen, voters, relays []membership.Member) []membership.Member {
	list := slices.Clone(relays)
	for _, v := range voters {
		if contains(chosen, v.ID) {
			list = append(list, v)
		}
	}
	return list
}

// relaysOf returns the relays of a data centre: the live instances with the
// highest rendezvous hashes.
func relaysOf(id fleet.DataCentreID, members []membership.Member) []membership.Member {
	var local []membership.Member
	for _, m := range members {
		if m.DataCentre == id && m.Status == membership.Alive {
			local = append(local, m)
		}
	}
	slices.SortFunc(local, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(weight(string(id), b.ID), weight(string(id), a.ID)), strings.Compare(string(a.ID), string(b.ID)))
	})
	return local[:min(len(local), relayCount)]
}

// prefer orders peers: alive before suspect, the own data centre before others,
// and then by a hash that spreads the instances over the peers.
func prefer(self membership.Member, peers []membership.Member) {
	far := func(m membership.Member) int {
		if m.DataCentre == self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortFunc(peers, func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(a.Status, b.Status),
			cmp.Compare(far(a), far(b)),
			cmp.Compare(weight(string(self.ID), b.ID), weight(string(self.ID), a.ID)),
			strings.Compare(string(a.ID), string(b.ID)),
		)
	})
}

func weight(key string, id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(key + "/" + string(id))
}

func contains(list []membership.Member, id fleet.InstanceID) bool {
	return slices.ContainsFunc(list, func(m membership.Member) bool { return m.ID == id })
}

func unique(list []membership.Member) []membership.Member {
	var kept []membership.Member
	for _, m := range list {
		if !contains(kept, m.ID) {
			kept = append(kept, m)
		}
	}
	return kept
}

func highest(members []membership.Member) fleet.Revision {
	best := fleet.Revision(0)
	for _, m := range members {
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			best = max(best, m.Revision)
		}
	}
	return best
}
