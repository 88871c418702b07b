// Package section parses and checks the sections that teams submit.
//
// A section is a text in INI with named subsections:
//
//	[pool "plots"]
//	kind = service
//	timeout = 5s
//
// Parse checks one section alone. Cross checks the sections of all teams against
// each other. Check does both for a document and builds the Config that an
// instance puts into force. Every check covers the whole text and reports all
// faults, each with its section and key.
//
// Parse and Cross depend on their arguments only, so that every replica of the
// register reaches the same verdict. Time zones are loaded by Build, because the
// zone data differ between machines.
package section

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"gopkg.in/ini.v1"
)

const (
	// MaxText is the largest section in bytes. Encoded as JSON it fits into
	// the 4 MiB that the operators' listener and gRPC accept.
	MaxText = 3 << 20
	// MaxDocument is the largest sum of all sections in bytes.
	MaxDocument = 16 << 20
	// MaxTeams is the largest number of sections of a document.
	MaxTeams = 256

	// MaxLines and MaxSubsections bound the time that a section takes: 786,000
	// empty subsections in 3 MiB took 1 s.
	MaxLines       = 300_000
	MaxSubsections = 30_000

	maxNameLength   = 64 // bytes
	maxPrintedFault = 20
)

// Fault is one error in a section.
type Fault struct {
	Team fleet.TeamID
	// Section is the kind and name of the subsection, empty for the text as a
	// whole.
	Section string
	// Key is empty when the fault concerns the subsection as a whole.
	Key     string
	Message string
}

// String returns the fault with its section and key.
func (f Fault) String() string {
	switch {
	case f.Section == "":
		return f.Message
	case f.Key == "":
		return fmt.Sprintf("[%s]: %s", f.Section, f.Message)
	default:
		return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Message)
	}
}

// Faults lists all faults of a document. It is an error when it is not empty.
type Faults []Fault

// Error returns one line for each fault, up to a bound.
func (f Faults) Error() string {
	var lines []string
	for i, x := range f {
		if i == maxPrintedFault {
			lines = append(lines, fmt.Sprintf("and %d more faults", len(f)-i))
			break
		}
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Parsed is the checked content of one section.
type Parsed struct {
	Team        fleet.TeamID
	size        int
	models      []document.Model
	accounts    []account
	dataCentres []document.DataCentre
	pools       []document.Pool
	windows     []window
}

// account is an account with the hashes of its API keys.
type account struct {
	document.Account
	keys []string
}

// window is a window whose time zone is not loaded yet.
type window struct {
	document.Window
	zone string
}

// ini.v1 joins sections and keys of equal names by default. The options keep
// them apart, so that Parse can refuse duplicates.
var options = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Parse checks the section of a team. The error is of type Faults.
func Parse(team fleet.TeamID, text string) (*Parsed, error) {
	p := parser{parsed: &Parsed{Team: team, size: len(text)}, seen: make(map[string]bool)}
	if message := checkText(text); message != "" {
		p.fault("", "", message)
		return nil, p.faults
	}
	file, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		p.fault("", "", "is not valid INI: "+truncate(err.Error()))
		return nil, p.faults
	}
	for _, s := range file.Sections() {
		p.section(s)
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.parsed, nil
}

// checkText returns what is wrong with the text before it is parsed.
func checkText(text string) string {
	if len(text) > MaxText {
		return fmt.Sprintf("section has %d bytes, the bound is %d", len(text), MaxText)
	}
	if !utf8.ValidString(text) {
		return "section is not valid UTF-8"
	}
	subsections := 0
	for n, line := range bytes.Split([]byte(text), []byte("\n")) {
		if message := checkLine(line); message != "" {
			return fmt.Sprintf("line %d: %s", n+1, message)
		}
		if bytes.HasPrefix(bytes.TrimSpace(line), []byte("[")) {
			subsections++
		}
		if n >= MaxLines || subsections > MaxSubsections {
			return fmt.Sprintf("section has more than %d lines or %d subsections", MaxLines, MaxSubsections)
		}
	}
	return ""
}

// checkLine refuses what ini.v1 would ignore without an error.
func checkLine(line []byte) string {
	line = bytes.TrimSuffix(line, []byte("\r"))
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return fmt.Sprintf("control character %#02x", b)
		}
	}
	line = bytes.TrimSpace(line)
	if !bytes.HasPrefix(line, []byte("[")) {
		return ""
	}
	rest := bytes.TrimSpace(line[bytes.LastIndexByte(line, ']')+1:])
	if len(rest) > 0 && rest[0] != ';' && rest[0] != '#' {
		return "text after the section name"
	}
	return ""
}

type parser struct {
	parsed *Parsed
	seen   map[string]bool
	faults Faults
}

func (p *parser) fault(section, key, message string) {
	p.faults = append(p.faults, Fault{Team: p.parsed.Team, Section: section, Key: key, Message: message})
}

func (p *parser) section(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.fault(truncate(s.Name()), truncate(k.Name()), "key outside of a subsection")
		}
		return
	}
	title := truncate(s.Name())
	kind, name, ok := splitTitle(s.Name())
	if !ok || truncate(kind) != kind {
		p.fault(title, "", `must be a kind and a quoted name, such as [pool "plots"]`)
		return
	}
	if message := checkName(name); message != "" {
		p.fault(title, "", message)
		return
	}
	title = kind + ` "` + name + `"`
	if p.seen[title] {
		p.fault(title, "", "appears twice")
		return
	}
	p.seen[title] = true
	p.entity(kind, title, name, s)
}

func (p *parser) entity(kind, title, name string, s *ini.Section) {
	r := p.parsed
	switch kind {
	case "model":
		m := document.Model{ID: fleet.ModelID(name), Team: r.Team}
		read(p, title, s, modelKeys, &m)
		r.models = append(r.models, m)
	case "account":
		a := account{Account: document.Account{ID: fleet.AccountID(name), Team: r.Team}}
		read(p, title, s, accountKeys, &a)
		p.checkAccount(title, a)
		r.accounts = append(r.accounts, a)
	case "dataCentre":
		d := document.DataCentre{ID: fleet.DataCentreID(name), Team: r.Team}
		read(p, title, s, dataCentreKeys, &d)
		r.dataCentres = append(r.dataCentres, d)
	case "pool":
		o := document.Pool{ID: fleet.PoolID(name), Team: r.Team}
		read(p, title, s, poolKeys, &o)
		p.checkPool(title, o)
		r.pools = append(r.pools, o)
	case "window":
		w := window{Window: document.Window{Name: name, Team: r.Team}}
		read(p, title, s, windowKeys, &w)
		r.windows = append(r.windows, w)
	default:
		p.fault(title, "", "unknown kind of subsection")
	}
}

func (p *parser) checkAccount(title string, a account) {
	if a.Burst > 0 && a.RequestRate == 0 {
		p.fault(title, "burst", "has no effect without requestRate")
	}
}

func (p *parser) checkPool(title string, o document.Pool) {
	if o.Kind == document.EnginePool && len(o.OncePaths) > 0 {
		p.fault(title, "oncePaths", "is for pools of kind service")
	}
}

// read sets the fields of t from the keys of s.
func read[T any](p *parser, title string, s *ini.Section, specs []spec[T], t *T) {
	values := make(map[string]string, len(specs))
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			p.fault(title, truncate(k.Name()), "appears twice")
		}
		values[k.Name()] = k.Value()
	}
	for _, x := range specs {
		p.value(title, x.Key, values, func(v string) string { return x.set(t, v) })
		delete(values, x.Name)
	}
	for _, name := range sortedKeys(values) {
		p.fault(title, truncate(name), "unknown key")
	}
}

func (p *parser) value(title string, k Key, values map[string]string, set func(string) string) {
	v, ok := values[k.Name]
	if !ok && k.Required {
		p.fault(title, k.Name, "is missing")
		return
	}
	if !ok {
		v = k.Default
	}
	if !ok && v == "" {
		return
	}
	if message := set(v); message != "" {
		p.fault(title, k.Name, fmt.Sprintf("%s, got %q", message, truncate(v)))
	}
}

// splitTitle splits `pool "plots"` into its kind and name.
func splitTitle(title string) (kind, name string, ok bool) {
	kind, rest, ok := strings.Cut(title, " ")
	rest = strings.TrimSpace(rest)
	if !ok || len(rest) < 2 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return "", "", false
	}
	return kind, rest[1 : len(rest)-1], true
}

// checkName returns what is wrong with a name, or the empty string.
func checkName(name string) string {
	if name == "" || len(name) > maxNameLength {
		return fmt.Sprintf("name must have 1 to %d characters", maxNameLength)
	}
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return "name must consist of letters, digits, dots, dashes and underscores"
		}
	}
	return ""
}

// truncate bounds a text of the submitter that appears in a message.
func truncate(s string) string {
	const longest = 100 // bytes
	if len(s) <= longest {
		return s
	}
	return strings.ToValidUTF8(s[:longest], "") + "..."
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
