// Package section parses and checks the sections that teams submit.
//
// A section is a text in INI format with named subsections:
//
//	[pool "plots"]
//	kind = service
//	timeout = 5s
//
// Parse checks one section on its own. CrossCheck checks the sections of all
// teams against each other. Check does both for a document and builds the Config
// that an instance activates. Every check covers the whole text and reports all
// faults, each with its subsection and key.
//
// Parse and CrossCheck depend on their arguments only, so that every replica of
// the register reaches the same verdict. Time zones are loaded by Build, because
// the zone data differ between machines.
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
	// MaxTextBytes is the largest size of a section. Encoded as JSON it fits into
	// the 4 MiB that the operators' listener and gRPC accept.
	MaxTextBytes = 3 << 20
	// MaxDocumentBytes is the largest total size of all sections.
	MaxDocumentBytes = 16 << 20
	// MaxTeams is the largest number of sections of a document.
	MaxTeams = 256

	// MaxLines and MaxSubsections limit the processing time of a section: 786,000
	// empty subsections in 3 MiB took 1 s.
	MaxLines       = 300_000
	MaxSubsections = 30_000

	maxNameBytes     = 64
	maxPrintedFaults = 20
)

// Fault is one error found in a section.
type Fault struct {
	Team fleet.TeamID
	// Subsection is the kind and name of the subsection. It is empty when the
	// fault concerns the text as a whole.
	Subsection string
	// Key is empty when the fault concerns the subsection as a whole.
	Key     string
	Message string
}

// String returns the message with its subsection and key.
func (f Fault) String() string {
	switch {
	case f.Subsection == "":
		return f.Message
	case f.Key == "":
		return fmt.Sprintf("[%s]: %s", f.Subsection, f.Message)
	default:
		return fmt.Sprintf("[%s] %s: %s", f.Subsection, f.Key, f.Message)
	}
}

// Faults lists all faults of a document. It is an error when it is not empty.
type Faults []Fault

// Error returns one line per fault. After maxPrintedFaults faults, it only counts
// the others.
func (f Faults) Error() string {
	var lines []string
	for i, x := range f {
		if i == maxPrintedFaults {
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

// Parsed is the content of one section that passed Parse.
type Parsed struct {
	Team        fleet.TeamID
	textBytes   int
	models      []document.Model
	accounts    []account
	dataCentres []document.DataCentre
	pools       []document.Pool
	windows     []window
}

// account is an account with the hashes of its account keys.
type account struct {
	document.Account
	keys []string
}

// window is a quiet-hours window whose time zone is not loaded yet.
type window struct {
	document.Window
	zone string
}

// iniOptions keep sections and keys of equal names apart, so that Parse can
// reject duplicates. By default, ini.v1 merges them.
var iniOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Parse checks the section of a team. The error is of type Faults.
func Parse(team fleet.TeamID, text string) (*Parsed, error) {
	p := parser{parsed: &Parsed{Team: team, textBytes: len(text)}, seen: make(map[string]bool)}
	if message := checkText(text); message != "" {
		p.addFault("", "", message)
		return nil, p.faults
	}
	file, err := ini.LoadSources(iniOptions, []byte(text))
	if err != nil {
		p.addFault("", "", "is not valid INI: "+truncate(err.Error()))
		return nil, p.faults
	}
	for _, s := range file.Sections() {
		p.parseSubsection(s)
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.parsed, nil
}

// checkText checks the text before it is parsed. It returns a message when the
// text must not be parsed, or else the empty string.
func checkText(text string) string {
	if len(text) > MaxTextBytes {
		return fmt.Sprintf("section has %d bytes, the bound is %d", len(text), MaxTextBytes)
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

// checkLine returns a message for input that ini.v1 would silently ignore, or
// else the empty string.
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

func (p *parser) addFault(subsection, key, message string) {
	p.faults = append(p.faults, Fault{Team: p.parsed.Team, Subsection: subsection, Key: key, Message: message})
}

func (p *parser) parseSubsection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.addFault(truncate(s.Name()), truncate(k.Name()), "key outside of a subsection")
		}
		return
	}
	title := truncate(s.Name())
	kind, name, ok := splitTitle(s.Name())
	if !ok || truncate(kind) != kind {
		p.addFault(title, "", `must be a kind and a quoted name, such as [pool "plots"]`)
		return
	}
	if message := checkName(name); message != "" {
		p.addFault(title, "", message)
		return
	}
	title = kind + ` "` + name + `"`
	if p.seen[title] {
		p.addFault(title, "", "appears twice")
		return
	}
	p.seen[title] = true
	p.parseEntity(kind, title, name, s)
}

func (p *parser) parseEntity(kind, title, name string, s *ini.Section) {
	parsed := p.parsed
	switch kind {
	case "model":
		m := document.Model{ID: fleet.ModelID(name), Team: parsed.Team}
		readKeys(p, title, s, modelKeys, &m)
		parsed.models = append(parsed.models, m)
	case "account":
		a := account{Account: document.Account{ID: fleet.AccountID(name), Team: parsed.Team}}
		readKeys(p, title, s, accountKeys, &a)
		p.checkAccount(title, a)
		parsed.accounts = append(parsed.accounts, a)
	case "dataCentre":
		d := document.DataCentre{ID: fleet.DataCentreID(name), Team: parsed.Team}
		readKeys(p, title, s, dataCentreKeys, &d)
		parsed.dataCentres = append(parsed.dataCentres, d)
	case "pool":
		pool := document.Pool{ID: fleet.PoolID(name), Team: parsed.Team}
		readKeys(p, title, s, poolKeys, &pool)
		p.checkPool(title, pool)
		parsed.pools = append(parsed.pools, pool)
	case "window":
		w := window{Window: document.Window{Name: name, Team: parsed.Team}}
		readKeys(p, title, s, windowKeys, &w)
		parsed.windows = append(parsed.windows, w)
	default:
		p.addFault(title, "", "unknown kind of subsection")
	}
}

func (p *parser) checkAccount(title string, a account) {
	if a.Burst > 0 && a.RequestRate == 0 {
		p.addFault(title, "burst", "has no effect without requestRate")
	}
}

func (p *parser) checkPool(title string, pool document.Pool) {
	if pool.Kind == document.EnginePool && len(pool.AtMostOncePaths) > 0 {
		p.addFault(title, "oncePaths", "is for pools of kind service")
	}
}

// readKeys sets the fields of target from the keys of s and reports missing,
// duplicate, unknown and invalid keys.
func readKeys[T any](p *parser, title string, s *ini.Section, specs []keySpec[T], target *T) {
	values := make(map[string]string, len(specs))
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			p.addFault(title, truncate(k.Name()), "appears twice")
		}
		values[k.Name()] = k.Value()
	}
	for _, x := range specs {
		p.setValue(title, x.Key, values, func(v string) string { return x.set(target, v) })
		delete(values, x.Name)
	}
	for _, name := range sortedKeys(values) {
		p.addFault(title, truncate(name), "unknown key")
	}
}

func (p *parser) setValue(title string, key Key, values map[string]string, set func(string) string) {
	v, ok := values[key.Name]
	if !ok && key.Required {
		p.addFault(title, key.Name, "is missing")
		return
	}
	if !ok {
		v = key.Default
	}
	if !ok && v == "" {
		return
	}
	if message := set(v); message != "" {
		p.addFault(title, key.Name, fmt.Sprintf("%s, got %q", message, truncate(v)))
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

// checkName returns a message for an invalid name, or else the empty string.
func checkName(name string) string {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Sprintf("name must have 1 to %d characters", maxNameBytes)
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

// truncate shortens a submitted text that appears in a message.
func truncate(s string) string {
	const maxBytes = 100
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
