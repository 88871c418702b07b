package settings

import (
	"fmt"
	"os"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFileBytes is the maximum size of a settings file in bytes.
const maxFileBytes = 1 << 20

// Error describes an invalid settings file.
type Error struct {
	File    string
	Section string
	Key     string
	Problem string
}

// Error returns one line with the file, section, key and problem. It omits a section or
// key that is empty.
func (e *Error) Error() string {
	location := e.File
	if e.Section != "" {
		location += ": [" + e.Section + "]"
	}
	if e.Key != "" {
		location += " " + e.Key
	}
	return location + ": " + e.Problem
}

// Load reads and validates the settings file at path. A returned error is an *Error.
func Load(path string) (Settings, error) {
	content, err := readFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Problem: err.Error()}
	}
	return Parse(path, content)
}

// Parse validates the content of a settings file. Errors refer to the file by fileName.
// A returned error is an *Error.
func Parse(fileName string, content []byte) (Settings, error) {
	if !utf8.Valid(content) {
		return Settings{}, &Error{File: fileName, Problem: "the file is not valid UTF-8"}
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:            true,
		IgnoreInlineComment:     true,
		SkipUnrecognizableLines: false,
		KeyValueDelimiters:      "=",
	}, content)
	if err != nil {
		return Settings{}, &Error{File: fileName, Problem: fmt.Sprintf("the file is not valid INI: %v", err)}
	}
	keys := Keys()
	if err := checkSections(fileName, parsed, keys); err != nil {
		return Settings{}, err
	}
	var s Settings
	for _, k := range keys {
		if err := k.apply(&s, fileName, parsed); err != nil {
			return Settings{}, err
		}
	}
	if err := checkDependencies(fileName, s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errorf("the file can't be read: %v", err)
	}
	if info.Size() > maxFileBytes {
		return nil, errorf("the file is larger than %d bytes", maxFileBytes)
	}
	return os.ReadFile(path)
}

func checkSections(fileName string, parsed *ini.File, keys []Key) error {
	known := make(map[string]map[string]bool)
	for _, k := range keys {
		if known[k.Section] == nil {
			known[k.Section] = make(map[string]bool)
		}
		known[k.Section][k.Name] = true
	}
	for _, section := range parsed.Sections() {
		if err := checkSection(fileName, section, known); err != nil {
			return err
		}
	}
	return nil
}

func checkSection(fileName string, section *ini.Section, known map[string]map[string]bool) error {
	if section.Name() == ini.DefaultSection {
		if names := section.KeyStrings(); len(names) > 0 {
			return &Error{File: fileName, Key: names[0], Problem: "the key precedes the first section"}
		}
		return nil
	}
	if known[section.Name()] == nil {
		return &Error{File: fileName, Section: section.Name(), Problem: "unknown section"}
	}
	for _, k := range section.Keys() {
		if !known[section.Name()][k.Name()] {
			return &Error{File: fileName, Section: section.Name(), Key: k.Name(), Problem: "unknown key"}
		}
		if len(k.ValueWithShadows()) > 1 {
			return &Error{File: fileName, Section: section.Name(), Key: k.Name(), Problem: "the key is given more than once"}
		}
	}
	return nil
}

func (k Key) apply(s *Settings, fileName string, parsed *ini.File) error {
	value := k.Default
	section, err := parsed.GetSection(k.Section)
	if err == nil && section.HasKey(k.Name) {
		value = section.Key(k.Name).String()
	}
	if value == "" {
		if k.Required {
			return &Error{File: fileName, Section: k.Section, Key: k.Name, Problem: "the key is missing or empty"}
		}
		return nil
	}
	if err := k.set(s, value); err != nil {
		return &Error{File: fileName, Section: k.Section, Key: k.Name, Problem: err.Error()}
	}
	return nil
}

// checkDependencies checks the constraints between several settings.
func checkDependencies(fileName string, s Settings) error {
	checks := []func(Settings) (section, key, problem string){
		checkDataFolder, checkGossipSecret, checkVoterSet, checkOperatorTLS, checkPeerTLS, checkDrainDelay, checkDeadlines, checkListeners,
	}
	for _, check := range checks {
		if section, key, problem := check(s); problem != "" {
			return &Error{File: fileName, Section: section, Key: key, Problem: problem}
		}
	}
	return nil
}

func checkDataFolder(s Settings) (section, key, problem string) {
	if s.Instance.Votes && s.Instance.DataFolder == "" {
		return "instance", "dataFolder", "an instance that votes needs a data folder"
	}
	return "", "", ""
}

// minSecretBytes is the minimum length of the gossip secret in bytes.
const minSecretBytes = 16

func checkGossipSecret(s Settings) (section, key, problem string) {
	if len(s.Membership.Secret) < minSecretBytes {
		return "membership", "secretFile", fmt.Sprintf("the secret is shorter than %d bytes", minSecretBytes)
	}
	return "", "", ""
}

func checkVoterSet(s Settings) (section, key, problem string) {
	ids := make(map[any]bool)
	for _, v := range s.Quorum.InitialVoters {
		if ids[v.ID] || ids[v.Instance] || ids[v.Address] {
			return "quorum", "voters", fmt.Sprintf("voter %d has the same number, instance or address as another voter", v.ID)
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
	count := 0
	for _, f := range []string{s.Peers.Certificate, s.Peers.Key, s.Peers.Authority} {
		if f != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		return "peers", "certificate", "certificate, key and authority must be given together"
	}
	return "", "", ""
}

// checkDrainDelay limits the drain delay to half of the stop timeout, so that at least
// half of a stop remains for the requests in progress.
func checkDrainDelay(s Settings) (section, key, problem string) {
	if s.Instance.DrainDelay > s.Instance.StopTimeout/2 {
		return "instance", "drainDelay", "drainDelay is greater than half of stopTimeout"
	}
	return "", "", ""
}

func checkDeadlines(s Settings) (section, key, problem string) {
	if s.Requests.DefaultDeadline > s.Requests.MaxDeadline {
		return "requests", "deadline", "deadline is greater than maxDeadline"
	}
	return "", "", ""
}

func checkListeners(s Settings) (section, key, problem string) {
	l := s.Listeners
	keyByAddress := make(map[string]string)
	for _, tcp := range []struct{ key, address string }{
		{"callers", l.Callers},
		{"operators", l.Operators},
		{"upstreams", l.Upstreams},
		{"peers", l.Peers},
		{"platform", l.Platform},
	} {
		if other, duplicate := keyByAddress[tcp.address]; duplicate {
			return "listeners", tcp.key, "same address as " + other
		}
		keyByAddress[tcp.address] = tcp.key
	}
	return "", "", ""
}
