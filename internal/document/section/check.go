package section

import (
	"fmt"
	"sort"
	"strings"
	"time"
	_ "time/tzdata" // embedded zone data for machines that have none installed

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Check parses all sections of d, checks them against each other and builds the
// Config. The error is of type Faults and may contain data of several teams.
func Check(d document.Document) (*document.Config, error) {
	var faults Faults
	var list []*Parsed
	for _, s := range d.Sections {
		p, err := Parse(s.Team, s.Text)
		if err != nil {
			faults = append(faults, err.(Faults)...)
			continue
		}
		list = append(list, p)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if err := CrossCheck(list, ""); err != nil {
		return nil, err
	}
	return Build(d.Revision, list)
}

// CrossCheck checks the sections of all teams against each other. When submitter
// is not empty, the faults are written for that team: they contain no data of
// other teams that the submitter did not write itself. The error is of type
// Faults.
func CrossCheck(list []*Parsed, submitter fleet.TeamID) error {
	c := crossChecker{
		submitter:   submitter,
		models:      make(map[string]fleet.TeamID),
		accounts:    make(map[string]fleet.TeamID),
		keys:        make(map[string]fleet.TeamID),
		dataCentres: make(map[string]fleet.TeamID),
		windows:     make(map[string]fleet.TeamID),
		pools:       make(map[fleet.PoolID]document.Pool),
		poolOwners:  make(map[string]fleet.TeamID),
	}
	ordered := c.sortSubmitterLast(list)
	c.checkLimits(ordered)
	for _, p := range ordered {
		c.checkNames(p)
	}
	for _, p := range ordered {
		c.checkReferences(p)
	}
	return c.faults.asError()
}

type crossChecker struct {
	submitter                                                fleet.TeamID
	models, accounts, keys, dataCentres, windows, poolOwners map[string]fleet.TeamID
	pools                                                    map[fleet.PoolID]document.Pool
	faults                                                   Faults
}

// sortSubmitterLast returns the sections ordered by team with the submitter last,
// so that a name that another team already uses is a fault of the submitter.
func (c *crossChecker) sortSubmitterLast(list []*Parsed) []*Parsed {
	ordered := append([]*Parsed(nil), list...)
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := ordered[i].Team, ordered[j].Team
		if (a == c.submitter) != (b == c.submitter) {
			return b == c.submitter
		}
		return a < b
	})
	return ordered
}

func (c *crossChecker) checkLimits(list []*Parsed) {
	size := 0
	for _, p := range list {
		size += p.textBytes
	}
	if size > MaxDocumentBytes {
		c.addFault(c.submitter, "", "", fmt.Sprintf("the document would have more than %d bytes", MaxDocumentBytes))
	}
	if len(list) > MaxTeams {
		c.addFault(c.submitter, "", "", fmt.Sprintf("the document would have more than %d sections", MaxTeams))
	}
}

func (c *crossChecker) addFault(team fleet.TeamID, subsection, key, message string) {
	c.faults = append(c.faults, Fault{Team: team, Subsection: subsection, Key: key, Message: message})
}

func (c *crossChecker) checkNames(p *Parsed) {
	for _, m := range p.models {
		c.claim(c.models, p.Team, "model", string(m.ID), "", string(m.ID))
	}
	for _, a := range p.accounts {
		c.claim(c.accounts, p.Team, "account", string(a.ID), "", string(a.ID))
		for _, hash := range a.keys {
			c.claim(c.keys, p.Team, "account", string(a.ID), "keySha256", hash)
		}
	}
	for _, d := range p.dataCentres {
		c.claim(c.dataCentres, p.Team, "dataCentre", string(d.ID), "", string(d.ID))
	}
	for _, w := range p.windows {
		c.claim(c.windows, p.Team, "window", w.Name, "", w.Name)
	}
	for _, pool := range p.pools {
		if c.claim(c.poolOwners, p.Team, "pool", string(pool.ID), "", string(pool.ID)) {
			c.pools[pool.ID] = pool
		}
	}
}

// claim records that a value belongs to a team. It returns false and adds a fault
// when the value already has an owner.
func (c *crossChecker) claim(owners map[string]fleet.TeamID, team fleet.TeamID, kind, name, key, value string) bool {
	if _, ok := owners[value]; !ok {
		owners[value] = team
		return true
	}
	subject := "name"
	if key != "" {
		subject = "value"
	}
	c.addFault(team, subsectionTitle(kind, name), key, subject+" is already in use")
	return false
}

func (c *crossChecker) checkReferences(p *Parsed) {
	for _, m := range p.models {
		c.checkPool(p.Team, m)
	}
	for _, w := range p.windows {
		// A window limits the load of a whole data centre, so only the team
		// that owns the data centre may set one.
		if c.dataCentres[string(w.DataCentre)] != p.Team || p.Team == "" {
			c.addFault(p.Team, subsectionTitle("window", w.Name), "dataCentre",
				fmt.Sprintf("%q is not a data centre of this section", w.DataCentre))
		}
	}
}

func (c *crossChecker) checkPool(team fleet.TeamID, m document.Model) {
	pool, ok := c.pools[m.Pool]
	if ok && pool.Kind == document.EnginePool {
		return
	}
	if c.submitter != "" && team != c.submitter {
		// The submitter removed or changed a pool that another team uses. The
		// message does not contain the model of that team.
		c.addFault(c.submitter, subsectionTitle("pool", string(m.Pool)), "", "is in use by another section as a pool of kind engine")
		return
	}
	message := fmt.Sprintf("pool %q does not exist", m.Pool)
	if ok {
		message = fmt.Sprintf("pool %q is not of kind engine", m.Pool)
	}
	c.addFault(team, subsectionTitle("model", string(m.ID)), "pool", message)
}

// Build returns the Config of sections that passed CrossCheck. It loads the time
// zones and fails with Faults when a zone is unknown.
func Build(r fleet.Revision, list []*Parsed) (*document.Config, error) {
	accounts := 0
	for _, p := range list {
		accounts += len(p.accounts)
	}
	c := &document.Config{
		Revision:    r,
		Models:      make(map[fleet.ModelID]document.Model),
		Accounts:    make(map[fleet.AccountID]document.Account, accounts),
		Keys:        make(map[string]fleet.AccountID, accounts),
		DataCentres: make(map[fleet.DataCentreID]document.DataCentre),
		Pools:       make(map[fleet.PoolID]document.Pool),
		Windows:     make(map[string]document.Window),
	}
	var faults Faults
	for _, p := range list {
		faults = append(faults, p.addTo(c)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

func (p *Parsed) addTo(c *document.Config) Faults {
	for _, m := range p.models {
		c.Models[m.ID] = m
	}
	for _, a := range p.accounts {
		c.Accounts[a.ID] = a.Account
		for _, hash := range a.keys {
			c.Keys[hash] = a.ID
		}
	}
	for _, d := range p.dataCentres {
		c.DataCentres[d.ID] = d
	}
	for _, pool := range p.pools {
		c.Pools[pool.ID] = pool
	}
	windows, err := p.Windows()
	for _, w := range windows {
		c.Windows[w.Name] = w
	}
	if err != nil {
		return err.(Faults)
	}
	return nil
}

// Windows returns the windows of the section with their time zones. The error
// is of type Faults and lists the zones that this machine does not know.
func (p *Parsed) Windows() ([]document.Window, error) {
	var list []document.Window
	var faults Faults
	for _, w := range p.windows {
		zone, err := time.LoadLocation(w.zone)
		if err != nil {
			faults = append(faults, Fault{p.Team, subsectionTitle("window", w.Name), "timeZone", fmt.Sprintf("%q is not a known time zone", w.zone)})
			continue
		}
		w.Zone = zone
		list = append(list, w.Window)
	}
	return list, faults.asError()
}

// ChangedWindows returns the sorted names of the windows of p that old lacks or
// has with another content. Old may be nil.
func (p *Parsed) ChangedWindows(old *Parsed) []string {
	oldFingerprints := make(map[string]string)
	if old != nil {
		for _, w := range old.windows {
			oldFingerprints[w.Name] = w.fingerprint()
		}
	}
	var names []string
	for _, w := range p.windows {
		if oldFingerprints[w.Name] != w.fingerprint() {
			names = append(names, w.Name)
		}
	}
	sort.Strings(names)
	return names
}

// fingerprint returns a text that is equal for windows of the same content,
// whatever the order of their days.
func (w window) fingerprint() string {
	var days [7]bool
	for _, d := range w.Days {
		days[d] = true
	}
	return fmt.Sprintf("%s %v %v %v %s %d", w.DataCentre, days, w.From, w.To, w.zone, w.MaxInFlight)
}

// OccurrenceStart returns the start of the occurrence of w that is in progress at
// t, or else of the next one.
func OccurrenceStart(w document.Window, t time.Time) time.Time {
	const week = 7
	t = t.In(w.Zone)
	year, month, day := t.Date()
	for offset := -2; offset <= week+1; offset++ {
		start := localTime(year, month, day+offset, w.From, w.Zone)
		if !startsOn(w, start.Weekday()) {
			continue
		}
		endOffset := 0
		if w.To <= w.From {
			endOffset = 1
		}
		if end := localTime(year, month, day+offset+endOffset, w.To, w.Zone); t.Before(end) {
			return start
		}
	}
	return time.Time{}
}

// localTime returns the wall-clock time timeOfDay of a date in zone.
func localTime(year int, month time.Month, day int, timeOfDay time.Duration, zone *time.Location) time.Time {
	hour := int(timeOfDay / time.Hour)
	minute := int(timeOfDay % time.Hour / time.Minute)
	return time.Date(year, month, day, hour, minute, 0, 0, zone)
}

func startsOn(w document.Window, d time.Weekday) bool {
	for _, day := range w.Days {
		if day == d {
			return true
		}
	}
	return false
}

// subsectionTitle returns the title of a subsection, such as pool "plots".
func subsectionTitle(kind, name string) string {
	return kind + ` "` + strings.TrimSpace(name) + `"`
}
