package section

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Key describes one key of a kind of subsection.
type Key struct {
	// Kind is the kind of subsection, such as "model".
	Kind string
	Name string
	// Unit is the unit or format of the value.
	Unit string
	// Default is the value of a key that is not given. It is empty when the
	// key is required or has no default.
	Default string
	// Constraint describes the allowed values, such as a range.
	Constraint string
	Required   bool
}

// keySpec is a Key with the function that stores its value in a T.
type keySpec[T any] struct {
	Key
	// set parses and stores a value. It returns a message when the value is
	// invalid, or else the empty string.
	set func(t *T, value string) string
}

const (
	maxCount        = 1_000_000 // largest number or rate of requests
	maxAccountKeys  = 8
	maxPathPrefixes = 64
	maxTimeout      = time.Hour
	minTimeout      = 10 * time.Millisecond
)

var modelKeys = []keySpec[document.Model]{
	textKey("model", "version", true, func(m *document.Model) *string { return &m.Version }),
	textKey("model", "adapter", false, func(m *document.Model) *string { return &m.Adapter }),
	required(integerKey("model", "layers", "layers", "", 1, 1024, func(m *document.Model) *fleet.Layer { return &m.Layers })),
	nameKey("model", "pool", func(m *document.Model) *fleet.PoolID { return &m.Pool }),
	integerKey("model", "minHolders", "upstreams", "2", 1, 64, func(m *document.Model) *int { return &m.MinHolders }),
	integerKey("model", "maxTokens", "tokens", "1024", 1, 1<<20, func(m *document.Model) *int { return &m.MaxTokens }),
}

var accountKeys = []keySpec[account]{
	keyHashesKey(),
	integerKey("account", "weight", "share", "1", 1, 1000, func(a *account) *int { return &a.Weight }),
	integerKey("account", "priority", "priority", "0", 0, 9, func(a *account) *fleet.Priority { return &a.Priority }),
	rateKey("account", "requestRate", func(a *account) *float64 { return &a.RequestRate }),
	integerKey("account", "burst", "requests", "0", 0, maxCount, func(a *account) *int { return &a.Burst }),
	integerKey("account", "maxInFlight", "requests", "0", 0, maxCount, func(a *account) *int { return &a.MaxInFlight }),
}

var dataCentreKeys = []keySpec[document.DataCentre]{
	nameKey("dataCentre", "region", func(d *document.DataCentre) *fleet.RegionID { return &d.Region }),
}

var poolKeys = []keySpec[document.Pool]{
	poolKindKey(),
	oncePathsKey(),
	durationKey("pool", "timeout", "30s", minTimeout, maxTimeout, func(p *document.Pool) *time.Duration { return &p.Timeout }),
}

var windowKeys = []keySpec[window]{
	nameKey("window", "dataCentre", func(w *window) *fleet.DataCentreID { return &w.DataCentre }),
	daysKey(),
	timeOfDayKey("window", "from", func(w *window) *time.Duration { return &w.From }),
	timeOfDayKey("window", "to", func(w *window) *time.Duration { return &w.To }),
	timeZoneKey(),
	required(integerKey("window", "maxInFlight", "requests", "", 0, maxCount, func(w *window) *int { return &w.MaxInFlight })),
}

// Keys returns every key of every kind of subsection.
func Keys() []Key {
	var all []Key
	all = appendKeys(all, modelKeys)
	all = appendKeys(all, accountKeys)
	all = appendKeys(all, dataCentreKeys)
	all = appendKeys(all, poolKeys)
	return appendKeys(all, windowKeys)
}

// Table returns Keys as a Markdown table for the documentation.
func Table() string {
	var b strings.Builder
	b.WriteString("| subsection | key | unit or form | default | bound |\n|---|---|---|---|---|\n")
	for _, k := range Keys() {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", k.Kind, k.Name, k.Unit, k.defaultText(), k.Constraint)
	}
	return b.String()
}

func (k Key) defaultText() string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	}
	return k.Default
}

func appendKeys[T any](all []Key, specs []keySpec[T]) []Key {
	for _, s := range specs {
		all = append(all, s.Key)
	}
	return all
}

func required[T any](s keySpec[T]) keySpec[T] {
	s.Required = true
	return s
}

// integerKey returns the spec of a whole number from low to high. The function
// field returns the address at which the value is stored.
func integerKey[T any, N ~int](kind, key, unit, defaultValue string, low, high int, field func(*T) *N) keySpec[T] {
	constraint := fmt.Sprintf("%d to %d", low, high)
	set := func(t *T, v string) string {
		n, err := strconv.Atoi(v)
		if err != nil {
			return "must be a whole number of " + unit + " without a unit"
		}
		if n < low || n > high {
			return "must be from " + constraint
		}
		*field(t) = N(n)
		return ""
	}
	return keySpec[T]{Key{kind, key, unit, defaultValue, constraint, false}, set}
}

func rateKey[T any](kind, key string, field func(*T) *float64) keySpec[T] {
	constraint := fmt.Sprintf("0 to %d", maxCount)
	set := func(t *T, v string) string {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return "must be a number of requests a second without a unit"
		}
		if math.IsNaN(n) || n < 0 || n > maxCount {
			return "must be from " + constraint
		}
		*field(t) = n
		return ""
	}
	return keySpec[T]{Key{kind, key, "requests a second", "0", constraint, false}, set}
}

func durationKey[T any](kind, key, defaultValue string, low, high time.Duration, field func(*T) *time.Duration) keySpec[T] {
	constraint := fmt.Sprintf("%v to %v", low, high)
	set := func(t *T, v string) string {
		d, err := time.ParseDuration(v)
		if err != nil {
			return "must be a duration with a unit, such as 500ms or 30s"
		}
		if d < low || d > high {
			return "must be from " + constraint
		}
		*field(t) = d
		return ""
	}
	return keySpec[T]{Key{kind, key, "duration", defaultValue, constraint, false}, set}
}

func textKey[T any](kind, key string, isRequired bool, field func(*T) *string) keySpec[T] {
	const maxBytes = 128
	constraint := fmt.Sprintf("1 to %d characters without spaces", maxBytes)
	set := func(t *T, v string) string {
		if v == "" || len(v) > maxBytes || strings.ContainsAny(v, " \t") {
			return "must have " + constraint
		}
		*field(t) = v
		return ""
	}
	return keySpec[T]{Key{kind, key, "text", "", constraint, isRequired}, set}
}

func nameKey[T any, N ~string](kind, key string, field func(*T) *N) keySpec[T] {
	set := func(t *T, v string) string {
		if message := checkName(v); message != "" {
			return message
		}
		*field(t) = N(v)
		return ""
	}
	constraint := fmt.Sprintf("1 to %d letters, digits, dots, dashes and underscores", maxNameBytes)
	return keySpec[T]{Key{kind, key, "name", "", constraint, true}, set}
}

func keyHashesKey() keySpec[account] {
	constraint := fmt.Sprintf("1 to %d hashes of 64 lower-case digits", maxAccountKeys)
	set := func(a *account, v string) string {
		list := splitList(v)
		if len(list) == 0 || len(list) > maxAccountKeys {
			return "must have " + constraint
		}
		for _, hash := range list {
			if b, err := hex.DecodeString(hash); err != nil || len(b) != 32 || hash != strings.ToLower(hash) {
				return "must have " + constraint
			}
		}
		a.keys = list
		return ""
	}
	return keySpec[account]{Key{"account", "keySha256", "list of SHA-256 in hexadecimal", "", constraint, true}, set}
}

func poolKindKey() keySpec[document.Pool] {
	set := func(p *document.Pool, v string) string {
		if p.Kind.UnmarshalText([]byte(v)) != nil {
			return "must be engine or service"
		}
		return ""
	}
	return keySpec[document.Pool]{Key{"pool", "kind", "name", "", "engine or service", true}, set}
}

func oncePathsKey() keySpec[document.Pool] {
	constraint := fmt.Sprintf("up to %d path prefixes that begin with /", maxPathPrefixes)
	set := func(p *document.Pool, v string) string {
		list := splitList(v)
		if len(list) > maxPathPrefixes {
			return "must be " + constraint
		}
		for _, path := range list {
			if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t?#") {
				return "must be " + constraint
			}
		}
		p.AtMostOncePaths = list
		return ""
	}
	return keySpec[document.Pool]{Key{"pool", "oncePaths", "list of paths", "", constraint, false}, set}
}

// dayNames is indexed by time.Weekday.
var dayNames = []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"}

func daysKey() keySpec[window] {
	all := strings.Join(dayNames, ", ")
	set := func(w *window, v string) string {
		var seen [7]bool
		var days []time.Weekday
		for _, name := range splitList(v) {
			d, ok := parseWeekday(name)
			if !ok || seen[d] {
				return "must list different days out of " + all
			}
			seen[d] = true
			days = append(days, d)
		}
		if len(days) == 0 {
			return "must list different days out of " + all
		}
		w.Days = days
		return ""
	}
	return keySpec[window]{Key{"window", "days", "list of days", all, "1 to 7 different days", false}, set}
}

func parseWeekday(name string) (time.Weekday, bool) {
	for i, n := range dayNames {
		if n == name {
			return time.Weekday(i), true
		}
	}
	return 0, false
}

func timeOfDayKey(kind, key string, field func(*window) *time.Duration) keySpec[window] {
	set := func(w *window, v string) string {
		t, err := time.Parse("15:04", v)
		if err != nil || len(v) != len("15:04") {
			return "must be a time of day from 00:00 to 23:59"
		}
		*field(w) = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
		return ""
	}
	return keySpec[window]{Key{kind, key, "time of day", "", "00:00 to 23:59", true}, set}
}

// timeZoneKey checks only the syntax of a zone name. Build loads the zone.
func timeZoneKey() keySpec[window] {
	const constraint = "name of the IANA time zone database"
	set := func(w *window, v string) string {
		if v == "UTC" {
			w.zone = v
			return ""
		}
		for _, component := range strings.Split(v, "/") {
			if !isZoneComponent(component) {
				return "must be a " + constraint + ", such as Europe/London"
			}
		}
		if !strings.Contains(v, "/") || len(v) > maxNameBytes {
			return "must be a " + constraint + ", such as Europe/London"
		}
		w.zone = v
		return ""
	}
	return keySpec[window]{Key{"window", "timeZone", "name", "", constraint, true}, set}
}

func isZoneComponent(component string) bool {
	for _, c := range component {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && c != '_' && c != '-' && c != '+' {
			return false
		}
	}
	return component != ""
}

func splitList(v string) []string {
	var list []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
