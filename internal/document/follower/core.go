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
	// relaysPerDataCentre is the number of instances of a data centre that fetch
	// from voters.
	relaysPerDataCentre = 2
	// maxStartupPeers limits the peers that a starting instance asks at once.
	maxStartupPeers = 8
	// maxOtherPeers limits the instances besides relays and voters that are asked
	// because they have a higher revision.
	maxOtherPeers = 3

	longPollTimeout = 4 * time.Second
	// fetchTimeout is the time that a fetch may take in addition to its long poll.
	fetchTimeout = 2 * time.Second
	// pollInterval is the pause after a round without a change.
	pollInterval = 200 * time.Millisecond
	// sourceBackoff is the pause after a source that did not answer or is behind.
	sourceBackoff = time.Second
	// rejectionBackoff is the pause after the second and each further consecutive
	// document that was rejected, so that whole documents are not fetched all the
	// time.
	rejectionBackoff = 10 * time.Second
)

// core decides which peers are asked and processes their replies. It does not wait
// and does no network I/O.
type core struct {
	cell   *board.Cell[document.Config]
	doc    document.Document
	parsed map[fleet.TeamID]parsedSection
	// fetchFull asks for the whole document, after a reply that was rejected.
	fetchFull bool
	// rejections counts consecutive rejected replies.
	rejections int
	// failedAttempts counts the rounds since the last change in which no source
	// was of use. It selects the sources of the next round.
	failedAttempts int
	status         Status
}

// parsedSection is the text of a section and its parsed content, kept so that
// unchanged sections are not parsed again.
type parsedSection struct {
	text    string
	content *section.Parsed
}

// fetchPlan describes one round of fetches, which are all sent at once.
type fetchPlan struct {
	peers []membership.Member
	after fleet.Revision
	// longPoll is the time for which a peer may delay its reply until it has a
	// newer revision.
	longPoll time.Duration
}

// result is the reply of one peer.
type result struct {
	from  membership.Member
	reply Reply
	err   error
}

func newCore(cell *board.Cell[document.Config]) *core {
	return &core{cell: cell, parsed: make(map[fleet.TeamID]parsedSection)}
}

// planFetch returns the next fetches. A core that is not ready asks several peers,
// so that it starts with the highest revision among them.
func (c *core) planFetch(self membership.Member, members []membership.Member) fetchPlan {
	p := fetchPlan{after: c.doc.Revision}
	if c.fetchFull {
		p.after = 0
	}
	sources, others := selectSources(self, members, c.doc.Revision)
	if c.status.State != Ready {
		p.peers = startupPeers(append(sources, others...), c.failedAttempts)
		return p
	}
	sources = append(sources, others[:min(len(others), maxOtherPeers)]...)
	if len(sources) > 0 {
		p.peers = []membership.Member{sources[c.failedAttempts%len(sources)]}
		p.longPoll = longPollTimeout
	}
	return p
}

// startupPeers returns the peers that a starting instance asks. When there are too
// many for one round, each round asks others.
func startupPeers(list []membership.Member, round int) []membership.Member {
	if len(list) <= maxStartupPeers {
		return list
	}
	var peers []membership.Member
	for i := range maxStartupPeers {
		peers = append(peers, list[(round*maxStartupPeers+i)%len(list)])
	}
	return peers
}

// handleResults processes the results of a plan and returns the pause before the
// next round.
func (c *core) handleResults(p fetchPlan, results []result, members []membership.Member, now time.Time) time.Duration {
	answered, highestOffered := false, fleet.Revision(0)
	changed := false
	for _, r := range results {
		if r.err != nil {
			continue
		}
		answered = true
		highestOffered = max(highestOffered, r.reply.Document.Revision)
		changed = c.apply(p, r, now) || changed
	}
	c.status.Highest = max(c.doc.Revision, highestOffered, highestRevision(members))
	if answered && highestOffered >= c.doc.Revision {
		c.status.Confirmed = now
	}
	c.updateState(answered, highestOffered)
	switch {
	case changed:
		c.failedAttempts = 0
		return 0
	case c.rejections > 0:
		c.failedAttempts++
		if c.rejections > 1 {
			return rejectionBackoff
		}
		return pollInterval
	case !answered || highestOffered < c.status.Highest:
		// The source did not answer or is behind the revision known from gossip.
		c.failedAttempts++
		return sourceBackoff
	}
	return pollInterval
}

// updateState makes the core ready once it has the highest revision that any
// reached peer offered.
func (c *core) updateState(answered bool, highestOffered fleet.Revision) {
	switch {
	case c.status.State == Ready:
	case !answered:
		c.status.State = Alone
	case c.doc.Revision >= highestOffered:
		c.status.State = Ready
	default:
		c.status.State = Behind
	}
}

// apply activates the document of a reply when it is newer and valid. It reports
// whether the active revision changed.
func (c *core) apply(p fetchPlan, r result, now time.Time) bool {
	if r.reply.Document.Revision <= c.doc.Revision {
		return false
	}
	if !r.reply.Full && p.after != c.doc.Revision {
		return false // the reply is a diff against a document that another reply replaced
	}
	next, err := merge(c.doc, r.reply)
	if err == nil {
		err = c.activate(next)
	}
	if err != nil {
		c.fetchFull = true
		c.rejections++
		c.status.Fault = errors.Wrapf(err, "revision %d from %s", r.reply.Document.Revision, r.from.ID).Error()
		return false
	}
	c.fetchFull = false
	c.rejections = 0
	c.status.Fault = ""
	c.status.Revision, c.status.Since, c.status.Source = next.Revision, now, r.from.ID
	return true
}

// activate validates a document as a whole and stores its Config in the cell.
func (c *core) activate(next document.Document) error {
	sections := make(map[fleet.TeamID]parsedSection, len(next.Sections))
	var list []*section.Parsed
	for _, s := range next.Sections {
		known, ok := c.parsed[s.Team]
		if !ok || known.text != s.Text {
			result, err := section.Parse(s.Team, s.Text)
			if err != nil {
				return errors.Wrapf(err, "section of team %s", s.Team)
			}
			known = parsedSection{text: s.Text, content: result}
		}
		sections[s.Team] = known
		list = append(list, known.content)
	}
	if err := section.CrossCheck(list, ""); err != nil {
		return err
	}
	config, err := section.Build(next.Revision, list)
	if err != nil {
		return err
	}
	newer := func(old *document.Config) bool { return old == nil || old.Revision < next.Revision }
	if !c.cell.StoreIf(config, newer) {
		return errors.New("a newer configuration is in force")
	}
	c.doc, c.parsed = next, sections
	return nil
}

// changesSince returns the sections that changed after a revision.
func (c *core) changesSince(after fleet.Revision) Reply {
	r := Reply{Document: document.Document{Revision: c.doc.Revision}, Full: after == 0}
	for _, s := range c.doc.Sections {
		if s.Revision > after {
			r.Document.Sections = append(r.Document.Sections, s)
		}
	}
	return r
}

// merge returns old with the sections of a reply. The newest section of a
// document always has the revision of the document, so a reply without such a
// section is incomplete or damaged.
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

// selectSources returns the peers to ask, in order of preference, and other peers
// with a revision above ownRevision. A voter asks itself, relays ask voters, and
// all others ask the relays of their data centre.
func selectSources(self membership.Member, members []membership.Member, ownRevision fleet.Revision) (sources, others []membership.Member) {
	var voters, relays []membership.Member
	relayMembers := relaysOf(self.DataCentre, members)
	for _, m := range members {
		usable := m.Status == membership.Alive || m.Status == membership.Suspect
		switch {
		case !usable || m.ID == self.ID:
		case m.Voter:
			voters = append(voters, m)
		case contains(relayMembers, m.ID):
			relays = append(relays, m)
		case m.Revision > ownRevision:
			others = append(others, m)
		}
	}
	if self.Voter {
		sources = append(sources, self)
	}
	sortByPreference(self, voters)
	sortByPreference(self, relays)
	sortByPreference(self, others)
	if self.Voter || contains(relayMembers, self.ID) {
		sources = append(append(sources, voters...), relays...)
	} else {
		sources = append(append(sources, localRelays(relayMembers, voters, relays)...), voters...)
	}
	return deduplicate(sources), others
}

// localRelays returns the relays of the data centre, including those that are
// voters.
func localRelays(relayMembers, voters, relays []membership.Member) []membership.Member {
	list := slices.Clone(relays)
	for _, v := range voters {
		if contains(relayMembers, v.ID) {
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
		return cmp.Or(cmp.Compare(rendezvousHash(string(id), b.ID), rendezvousHash(string(id), a.ID)), strings.Compare(string(a.ID), string(b.ID)))
	})
	return local[:min(len(local), relaysPerDataCentre)]
}

// sortByPreference orders peers: alive before suspect, the own data centre before
// others, and then by a hash that spreads the instances over the peers.
func sortByPreference(self membership.Member, peers []membership.Member) {
	distance := func(m membership.Member) int {
		if m.DataCentre == self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortFunc(peers, func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(a.Status, b.Status),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(rendezvousHash(string(self.ID), b.ID), rendezvousHash(string(self.ID), a.ID)),
			strings.Compare(string(a.ID), string(b.ID)),
		)
	})
}

func rendezvousHash(key string, id fleet.InstanceID) uint64 {
	return xxhash.Sum64String(key + "/" + string(id))
}

func contains(list []membership.Member, id fleet.InstanceID) bool {
	return slices.ContainsFunc(list, func(m membership.Member) bool { return m.ID == id })
}

func deduplicate(list []membership.Member) []membership.Member {
	var kept []membership.Member
	for _, m := range list {
		if !contains(kept, m.ID) {
			kept = append(kept, m)
		}
	}
	return kept
}

func highestRevision(members []membership.Member) fleet.Revision {
	best := fleet.Revision(0)
	for _, m := range members {
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			best = max(best, m.Revision)
		}
	}
	return best
}
