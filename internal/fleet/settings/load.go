package settings

import (
	"fmt"
	"os"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFile is the greatest size of a settings file in bytes.
const maxFile = 1 << 20

// Error is a fault in a settings file.
type Error struct {
	File    string
	Section string
	Key     string
	Problem string
}

// Error returns one line with file, section, key and problem.
func (e *Error) Error() string {
	place := e.File
	if e.Section != "" {
		place += ": [" + e.Section + "]"
	}
	if e.Key != "" {
		place += " " + e.Key
	}
	return place + ": " + e.Problem
}

// Load reads and checks the settings file at path. The error is an *Error.
func Load(path string) (Settings, error) {
	content, err := readFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Problem: err.Error()}
	}
	return Parse(path, content)
}

// Parse checks the content of a settings file. The name stands in errors.
func Parse(name string, content []byte) (Settings, error) {
	if !utf8.Valid(content) {
		return Settings{}, &Error{File: name, Problem: "the file is not valid UTF-8"}
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:            true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
		KeyValueDelimiters:      "=",
	}, content)
	if err != nil {
		return Settings{}, &Error{File: name, Problem: fmt.Sprintf("the file is not valid INI: %v", err)}
	}
	keys := Keys()
	if err := checkNames(name, parsed, keys); err != nil {
		return Settings{}, err
	}
	var s Settings
	for _, k := range keys {
		if err := k.apply(&s, name, parsed); err != nil {
			return Settings{}, err
		}
	}
	if err := checkTogether(name, s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fail("the file can't be read: %v", err)
	}
	if info.Size() > maxFile {
		return nil, fail("the file is larger than %d bytes", maxFile)
	}
	return os.ReadFile(path)
}

func checkNames(name string, parsed *ini.File, keys []Key) error {
	known := make(map[string]map[string]bool)
	for _, k := range keys {
		if known[k.Section] == nil {
			known[k.Section] = make(map[string]bool)
		}
		known[k.Section][k.Name] = true
	}
	for _, section := range parsed.Sections() {
		if err := checkSection(name, section, known); err != nil {
			return err
		}
	}
	return nil
}

func checkSection(name string, section *ini.Section, known map[string]map[string]bool) error {
	if section.Name() == ini.DefaultSection {
		if names := section.KeyStrings(); len(names) > 0 {
			return &Error{File: name, Key: names[0], Problem: "the key stands before the first section"}
		}
		return nil
	}
	if known[section.Name()] == nil {
		return &Error{File: name, Section: section.Name(), Problem: "unknown section"}
	}
	for _, k := range section.Keys() {
		if !known[section.Name()][k.Name()] {
			return &Error{File: name, Section: section.Name(), Key: k.Name(), Problem: "unknown key"}
		}
		if len(k.ValueWithShadows()) > 1 {
			return &Error{File: name, Section: section.Name(), Key: k.Name(), Problem: "the key is given more than once"}
		}
	}
	return nil
}

func (k Key) apply(s *Settings, name string, parsed *ini.File) error {
	value := k.Default
	section, err := parsed.GetSection(k.Section)
	if err == nil && section.HasKey(k.Name) {
		value = section.Key(k.Name).String()
	}
	if value == "" {
		if k.Required {
			return &Error{File: name, Section: k.Section, Key: k.Name, Problem: "the key is missing or empty"}
		}
		return nil
	}
	if err := k.set(s, value); err != nil {
		return &Error{File: name, Section: k.Section, Key: k.Name, Problem: err.Error()}
	}
	return nil
}

// checkTogether checks the settings that depend on each other.
func checkTogether(name string, s Settings) error {
	checks := []func(Settings) (section, key, problem string){
		checkVoting, checkSecret, checkVoterSet, checkOperatorTLS, checkPeerTLS, checkStop, checkDeadlines, checkListeners,
	}
	for _, check := range checks {
		if section, key, problem := check(s); problem != "" {
			return &Error{File: name, Section: section, Key: key, Problem: problem}
		}
	}
	return nil
}

func checkVoting(s Settings) (section, key, problem string) {
	if s.Instance.Votes && s.Instance.DataFolder == "" {
		return "instance", "dataFolder", "an instance that votes needs a data folder"
	}
	return "", "", ""
}

// minSecret is the least length of the gossip secret in bytes.
const minSecret = 16

func checkSecret(s Settings) (section, key, problem string) {
	if len(s.Membership.Secret) < minSecret {
		return "membership", "secretFile", fmt.Sprintf("the secret is shorter than %d bytes", minSecret)
	}
	return "", "", ""
}

func checkVoterSet(s Settings) (section, key, problem string) {
	ids := make(map[any]bool)
	for _, v := range s.Quorum.Voters {
		if ids[v.ID] || ids[v.Instance] || ids[v.Address] {
			return "quorum", "voters", fmt.Sprintf("voter %d repeats a number, an instance or an address", v.ID)
		}
		ids[v.ID], ids[v.Instance], ids[v.Address] = true, true, true
	}
	return "", "", ""
}

func checkOperatorTLS(s Settings) (section, key, problem string) {
	if (s.Operators.Certificate == "") != (s.Operators.Key == "") {
		return "operators", "certificate", "certificate and key must be given together"
	}
	return "", "", ""
}

func checkPeerTLS(s Settings) (section, key, problem string) {
	given := 0
	for _, f := range []string{s.Peers.Certificate, s.Peers.Key, s.Peers.Authority} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return "peers", "certificate", "certificate, key and authority must be given together"
	}
	return "", "", ""
}

// checkStop leaves at least half of a stop for the requests in progress.
func checkStop(s Settings) (section, key, problem string) {
	if s.Instance.DrainDelay > s.Instance.StopTimeout/2 {
		return "instance", "drainDelay", "drainDelay is greater than half of stopTimeout"
	}
	return "", "", ""
}

func checkDeadlines(s Settings) (section, key, problem string) {
	if s.Requests.Deadline > s.Requests.MaxDeadline {
		return "requests", "deadline", "deadline is greater than maxDeadline"
	}
	return "", "", ""
}

func checkListeners(s Settings) (section, key, problem string) {
	l := s.Listeners
	seen := make(map[string]string)
	for _, tcp := range []struct{ key, address string }{
		{"callers", l.Callers},
		{"operators", l.Operators},
		{"upstreams", l.Upstreams},
		{"peers", l.Peers},
		{"platform", l.Platform},
	} {
		if other, taken := seen[tcp.address]; taken {
			return "listeners", tcp.key, "same address as " + other
		}
		seen[tcp.address] = tcp.key
	}
	return "", "", ""
}
