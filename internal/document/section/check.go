package section

import (
	"fmt"
	"sort"
	"strings"
	"time"
	_ "time/tzdata" // zone data for machines without their own

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Check parses all sections of d, checks them against each other and builds the
// Config. The error is of type Faults and may show the data of several teams.
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
	if err := Cross(list, ""); err != nil {
		return nil, err
	}
	return Build(d.Revision, list)
}

// Cross checks the sections of all teams against each other. When submitter is
// not empty, every fault is told from the view of that team: it names nothing of
// other teams that the submitter did not write itself. The error is of type
// Faults.
func Cross(list []*Parsed, submitter fleet.TeamID) error {
	c := crossCheck{
		submitter:   submitter,
		models:      make(map[string]fleet.TeamID),
		accounts:    make(map[string]fleet.TeamID),
		keys:        make(map[string]fleet.TeamID),
		dataCentres: make(map[string]fleet.TeamID),
		windows:     make(map[string]fleet.TeamID),
		pools:       make(map[fleet.PoolID]document.Pool),
		poolOwners:  make(map[string]fleet.TeamID),
	}
	ordered := c.submitterLast(list)
	c.bounds(ordered)
	for _, p := range ordered {
		c.names(p)
	}
	for _, p := range ordered {
		c.references(p)
	}
	return c.faults.asError()
}

type crossCheck struct {
	submitter                                                fleet.TeamID
	models, accounts, keys, dataCentres, windows, poolOwners map[string]fleet.TeamID
	pools                                                    map[fleet.PoolID]document.Pool
	faults                                                   Faults
}

// submitterLast orders the sections by team with the submitter last, so that it
// gets the fault of a name that another team has already.
func (c *crossCheck) submitterLast(list []*Parsed) []*Parsed {
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

func (c *crossCheck) bounds(list []*Parsed) {
	size := 0
	for _, p := range list {
		size += p.size
	}
	if size > MaxDocument {
		c.fault(c.submitter, "", "", fmt.Sprintf("the document would have more than %d bytes", MaxDocument))
	}
	if len(list) > MaxTeams {
		c.fault(c.submitter, "", "", fmt.Sprintf("the document would have more than %d sections", MaxTeams))
	}
}

func (c *crossCheck) fault(team fleet.TeamID, section, key, message string) {
	c.faults = append(c.faults, Fault{Team: team, Section: section, Key: key, Message: message})
}

func (c *crossCheck) names(p *Parsed) {
	for _, m := range p.models {
		c.claim(c.models, p.Team, "model", string(m.ID), "", string(m.ID))
	}
	for _, a := range p.accounts {
		c.claim(c.accounts, p.Team, "account", string(a.ID), "", string(a.ID))
		for _, h := range a.keys {
			c.claim(c.keys, p.Team, "account", string(a.ID), "keySha256", h)
		}
	}
	for _, d := range p.dataCentres {
		c.claim(c.dataCentres, p.Team, "dataCentre", string(d.ID), "", string(d.ID))
	}
	for _, w := range p.windows {
		c.claim(c.windows, p.Team, "window", w.Name, "", w.Name)
	}
	for _, o := range p.pools {
		if c.claim(c.poolOwners, p.Team, "pool", string(o.ID), "", string(o.ID)) {
			c.pools[o.ID] = o
		}
	}
}

// claim notes that a value belongs to a team and reports whether it was free.
func (c *crossCheck) claim(taken map[string]fleet.TeamID, team fleet.TeamID, kind, name, key, value string) bool {
	if _, ok := taken[value]; !ok {
		taken[value] = team
		return true
	}
	what := "name"
	if key != "" {
		what = "value"
	}
	c.fault(team, title(kind, name), key, what+" is already in use")
	return false
}

func (c *crossCheck) references(p *Parsed) {
	for _, m := range p.models {
		c.poolOf(p.Team, m)
	}
	for _, w := range p.windows {
		// A window bounds the load of a whole data centre, so only the team
		// that owns the data centre may set one.
		if c.dataCentres[string(w.DataCentre)] != p.Team || p.Team == "" {
			c.fault(p.Team, title("window", w.Name), "dataCentre",
				fmt.Sprintf("%q is not a data centre of this section", w.DataCentre))
		}
	}
}

func (c *crossCheck) poolOf(team fleet.TeamID, m document.Model) {
	o, ok := c.pools[m.Pool]
	if ok && o.Kind == document.EnginePool {
		return
	}
	if c.submitter != "" && team != c.submitter {
		// The submitter removed or changed its pool. The model of the other
		// team is not named.
		c.fault(c.submitter, title("pool", string(m.Pool)), "", "is in use by another section as a pool of kind engine")
		return
	}
	message := fmt.Sprintf("pool %q does not exist", m.Pool)
	if ok {
		message = fmt.Sprintf("pool %q is not of kind engine", m.Pool)
	}
	c.fault(team, title("model", string(m.ID)), "pool", message)
}

// Build returns the Config of checked sections. It loads the time zones and
// fails with Faults when a zone is unknown.
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
		for _, h := range a.keys {
			c.Keys[h] = a.ID
		}
	}
	for _, d := range p.dataCentres {
		c.DataCentres[d.ID] = d
	}
	for _, o := range p.pools {
		c.Pools[o.ID] = o
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
			faults = append(faults, Fault{p.Team, title("window", w.Name), "timeZone", fmt.Sprintf("%q is not a known time zone", w.zone)})
			continue
		}
		w.Zone = zone
		list = append(list, w.Window)
	}
	return list, faults.asError()
}

// NewWindows returns the names of the windows of p that old does not have in the
// same form. Old may be nil.
func (p *Parsed) NewWindows(old *Parsed) []string {
	before := make(map[string]string)
	if old != nil {
		for _, w := range old.windows {
			before[w.Name] = w.fingerprint()
		}
	}
	var names []string
	for _, w := range p.windows {
		if before[w.Name] != w.fingerprint() {
			names = append(names, w.Name)
		}
	}
	sort.Strings(names)
	return names
}

func (w window) fingerprint() string {
	var days [7]bool
	for _, d := range w.Days {
		days[d] = true
	}
	return fmt.Sprintf("%s %v %v %v %s %d", w.DataCentre, days, w.From, w.To, w.zone, w.MaxInFlight)
}

// Start returns the start of the occurrence of w that is in progress at t, or
// else of the next one.
func Start(w document.Window, t time.Time) time.Time {
	const week = 7
	t = t.In(w.Zone)
	year, month, day := t.Date()
	for n := -2; n <= week+1; n++ {
		start := at(year, month, day+n, w.From, w.Zone)
		if !startsOn(w, start.Weekday()) {
			continue
		}
		next := 0
		if w.To <= w.From {
			next = 1
		}
		if end := at(year, month, day+n+next, w.To, w.Zone); t.Before(end) {
			return start
		}
	}
	return time.Time{}
}

func at(year int, month time.Month, day int, offset time.Duration, zone *time.Location) time.Time {
	hour := int(offset / time.Hour)
	minute := int(offset % time.Hour / time.Minute)
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

func title(kind, name string) string {
	return kind + ` "` + strings.TrimSpace(name) + `"`
}
