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
	// Section is the kind of subsection, such as "model".
	Section string
	Name    string
	// Unit is the unit or form of the value.
	Unit string
	// Default is the value of a key that is not given. It is empty when the
	// key is required or stands for nothing.
	Default string
	// Bound is the range of allowed values.
	Bound    string
	Required bool
}

// spec is a Key of a subsection that is read into a T.
type spec[T any] struct {
	Key
	// set stores a value and returns what is wrong with it.
	set func(t *T, value string) string
}

const (
	maxCount   = 1_000_000
	maxKeys    = 8
	maxPaths   = 64
	maxTimeout = time.Hour
	minTimeout = 10 * time.Millisecond
)

var modelKeys = []spec[document.Model]{
	text("model", "version", true, func(m *document.Model) *string { return &m.Version }),
	text("model", "adapter", false, func(m *document.Model) *string { return &m.Adapter }),
	required(integer("model", "layers", "layers", "", 1, 1024, func(m *document.Model) *fleet.Layer { return &m.Layers })),
	name("model", "pool", func(m *document.Model) *fleet.PoolID { return &m.Pool }),
	integer("model", "minHolders", "upstreams", "2", 1, 64, func(m *document.Model) *int { return &m.MinHolders }),
	integer("model", "maxTokens", "tokens", "1024", 1, 1<<20, func(m *document.Model) *int { return &m.MaxTokens }),
}

var accountKeys = []spec[account]{
	keyHashes(),
	integer("account", "weight", "share", "1", 1, 1000, func(a *account) *int { return &a.Weight }),
	integer("account", "priority", "priority", "0", 0, 9, func(a *account) *fleet.Priority { return &a.Priority }),
	rate("account", "requestRate", func(a *account) *float64 { return &a.RequestRate }),
	integer("account", "burst", "requests", "0", 0, maxCount, func(a *account) *int { return &a.Burst }),
	integer("account", "maxInFlight", "requests", "0", 0, maxCount, func(a *account) *int { return &a.MaxInFlight }),
}

var dataCentreKeys = []spec[document.DataCentre]{
	name("dataCentre", "region", func(d *document.DataCentre) *fleet.RegionID { return &d.Region }),
}

var poolKeys = []spec[document.Pool]{
	poolKind(),
	oncePaths(),
	duration("pool", "timeout", "30s", minTimeout, maxTimeout, func(o *document.Pool) *time.Duration { return &o.Timeout }),
}

var windowKeys = []spec[window]{
	name("window", "dataCentre", func(w *window) *fleet.DataCentreID { return &w.DataCentre }),
	weekdays(),
	timeOfDay("window", "from", func(w *window) *time.Duration { return &w.From }),
	timeOfDay("window", "to", func(w *window) *time.Duration { return &w.To }),
	timeZone(),
	required(integer("window", "maxInFlight", "requests", "", 0, maxCount, func(w *window) *int { return &w.MaxInFlight })),
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

// Table returns Keys as a table in Markdown, for the documentation.
func Table() string {
	var b strings.Builder
	b.WriteString("| subsection | key | unit or form | default | bound |\n|---|---|---|---|---|\n")
	for _, k := range Keys() {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", k.Section, k.Name, k.Unit, k.defaultText(), k.Bound)
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

func appendKeys[T any](all []Key, specs []spec[T]) []Key {
	for _, s := range specs {
		all = append(all, s.Key)
	}
	return all
}

func required[T any](s spec[T]) spec[T] {
	s.Required = true
	return s
}

func integer[T any, N ~int](section, key, unit, value string, low, high int, field func(*T) *N) spec[T] {
	bound := fmt.Sprintf("%d to %d", low, high)
	set := func(t *T, v string) string {
		n, err := strconv.Atoi(v)
		if err != nil {
			return "must be a whole number of " + unit + " without a unit"
		}
		if n < low || n > high {
			return "must be from " + bound
		}
		*field(t) = N(n)
		return ""
	}
	return spec[T]{Key{section, key, unit, value, bound, false}, set}
}

func rate[T any](section, key string, field func(*T) *float64) spec[T] {
	bound := fmt.Sprintf("0 to %d", maxCount)
	set := func(t *T, v string) string {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return "must be a number of requests a second without a unit"
		}
		if math.IsNaN(n) || n < 0 || n > maxCount {
			return "must be from " + bound
		}
		*field(t) = n
		return ""
	}
	return spec[T]{Key{section, key, "requests a second", "0", bound, false}, set}
}

func duration[T any](section, key, value string, low, high time.Duration, field func(*T) *time.Duration) spec[T] {
	bound := fmt.Sprintf("%v to %v", low, high)
	set := func(t *T, v string) string {
		d, err := time.ParseDuration(v)
		if err != nil {
			return "must be a duration with a unit, such as 500ms or 30s"
		}
		if d < low || d > high {
			return "must be from " + bound
		}
		*field(t) = d
		return ""
	}
	return spec[T]{Key{section, key, "duration", value, bound, false}, set}
}

func text[T any](section, key string, needed bool, field func(*T) *string) spec[T] {
	const longest = 128
	bound := fmt.Sprintf("1 to %d characters without spaces", longest)
	set := func(t *T, v string) string {
		if v == "" || len(v) > longest || strings.ContainsAny(v, " \t") {
			return "must have " + bound
		}
		*field(t) = v
		return ""
	}
	return spec[T]{Key{section, key, "text", "", bound, needed}, set}
}

func name[T any, N ~string](section, key string, field func(*T) *N) spec[T] {
	set := func(t *T, v string) string {
		if message := checkName(v); message != "" {
			return message
		}
		*field(t) = N(v)
		return ""
	}
	bound := fmt.Sprintf("1 to %d letters, digits, dots, dashes and underscores", maxNameLength)
	return spec[T]{Key{section, key, "name", "", bound, true}, set}
}

func keyHashes() spec[account] {
	bound := fmt.Sprintf("1 to %d hashes of 64 lower-case digits", maxKeys)
	set := func(a *account, v string) string {
		list := splitList(v)
		if len(list) == 0 || len(list) > maxKeys {
			return "must have " + bound
		}
		for _, h := range list {
			if b, err := hex.DecodeString(h); err != nil || len(b) != 32 || h != strings.ToLower(h) {
				return "must have " + bound
			}
		}
		a.keys = list
		return ""
	}
	return spec[account]{Key{"account", "keySha256", "list of SHA-256 in hexadecimal", "", bound, true}, set}
}

func poolKind() spec[document.Pool] {
	set := func(o *document.Pool, v string) string {
		if o.Kind.UnmarshalText([]byte(v)) != nil {
			return "must be engine or service"
		}
		return ""
	}
	return spec[document.Pool]{Key{"pool", "kind", "name", "", "engine or service", true}, set}
}

func oncePaths() spec[document.Pool] {
	bound := fmt.Sprintf("up to %d path prefixes that begin with /", maxPaths)
	set := func(o *document.Pool, v string) string {
		list := splitList(v)
		if len(list) > maxPaths {
			return "must be " + bound
		}
		for _, path := range list {
			if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t?#") {
				return "must be " + bound
			}
		}
		o.OncePaths = list
		return ""
	}
	return spec[document.Pool]{Key{"pool", "oncePaths", "list of paths", "", bound, false}, set}
}

// dayNames are in the order of time.Weekday.
var dayNames = []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"}

func weekdays() spec[window] {
	all := strings.Join(dayNames, ", ")
	set := func(w *window, v string) string {
		var seen [7]bool
		var days []time.Weekday
		for _, name := range splitList(v) {
			d, ok := weekday(name)
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
	return spec[window]{Key{"window", "days", "list of days", all, "1 to 7 different days", false}, set}
}

func weekday(name string) (time.Weekday, bool) {
	for i, n := range dayNames {
		if n == name {
			return time.Weekday(i), true
		}
	}
	return 0, false
}

func timeOfDay(section, key string, field func(*window) *time.Duration) spec[window] {
	set := func(w *window, v string) string {
		t, err := time.Parse("15:04", v)
		if err != nil || len(v) != len("15:04") {
			return "must be a time of day from 00:00 to 23:59"
		}
		*field(w) = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
		return ""
	}
	return spec[window]{Key{section, key, "time of day", "", "00:00 to 23:59", true}, set}
}

// timeZone checks the form of a zone name only. Build loads the zone.
func timeZone() spec[window] {
	const bound = "name of the IANA time zone database"
	set := func(w *window, v string) string {
		if v == "UTC" {
			w.zone = v
			return ""
		}
		for _, part := range strings.Split(v, "/") {
			if !zonePart(part) {
				return "must be a " + bound + ", such as Europe/London"
			}
		}
		if !strings.Contains(v, "/") || len(v) > maxNameLength {
			return "must be a " + bound + ", such as Europe/London"
		}
		w.zone = v
		return ""
	}
	return spec[window]{Key{"window", "timeZone", "name", "", bound, true}, set}
}

func zonePart(part string) bool {
	for _, c := range part {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && c != '_' && c != '-' && c != '+' {
			return false
		}
	}
	return part != ""
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
