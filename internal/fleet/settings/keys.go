package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// Key describes one key of the settings file and how its value is stored in Settings.
type Key struct {
	Section string
	Name    string
	// Type is the type of the value as it is documented, such as "duration" or
	// "address".
	Type string
	// Default is the value that is used if the key is missing. It is empty if
	// the key is required.
	Default  string
	Required bool
	// Constraint describes the allowed values.
	Constraint string
	Help       string
	set        func(s *Settings, value string) error
}

// Row returns the row for k of the table in docs/configuration.md.
func (k Key) Row() string {
	defaultText := k.Default
	if k.Required {
		defaultText = "required"
	}
	return fmt.Sprintf("| `%s` | `%s` | %s | %s | %s | %s |", k.Section, k.Name, k.Type, defaultText, k.Constraint, k.Help)
}

// Keys returns all keys that a settings file may contain, in the order of the
// documentation.
func Keys() []Key {
	var all []Key
	all = append(all, instanceKeys()...)
	all = append(all, listenerKeys()...)
	all = append(all, membershipKeys()...)
	all = append(all, quorumKeys()...)
	all = append(all, operatorKeys()...)
	all = append(all, peerKeys()...)
	all = append(all, upstreamKeys()...)
	all = append(all, limitKeys()...)
	all = append(all, requestKeys()...)
	all = append(all, orderKeys()...)
	all = append(all, repairKeys()...)
	all = append(all, logKeys()...)
	return append(all, faultKeys()...)
}

func instanceKeys() []Key {
	const section = "instance"
	return []Key{
		text(section, "id", "name of the instance, unique in the fleet", func(s *Settings) *string { return (*string)(&s.Instance.ID) }).required(),
		text(section, "dataCentre", "data centre of the instance", func(s *Settings) *string { return (*string)(&s.Instance.DataCentre) }).required(),
		text(section, "dataFolder", "folder of the durable state; empty: the instance keeps none", func(s *Settings) *string { return &s.Instance.DataFolder }),
		boolean(section, "votes", "false", "whether the instance is a member of the replicated logs", func(s *Settings) *bool { return &s.Instance.Votes }),
		number(section, "fleetSize", "16", 1, 1000, "greatest number of instances in the data centre", func(s *Settings) *int { return &s.Instance.FleetSize }),
		duration(section, "drainDelay", "2s", 0, 5*time.Minute, "time between not ready and the first refusal in a graceful stop, for the balancer to notice", func(s *Settings) *time.Duration { return &s.Instance.DrainDelay }),
		duration(section, "stopTimeout", "2m", time.Second, time.Hour, "greatest time of a graceful stop", func(s *Settings) *time.Duration { return &s.Instance.StopTimeout }),
	}
}

func listenerKeys() []Key {
	const section = "listeners"
	return []Key{
		address(section, "callers", "HTTP API for callers", func(s *Settings) *string { return &s.Listeners.Callers }),
		address(section, "operators", "HTTP API for operators", func(s *Settings) *string { return &s.Listeners.Operators }),
		address(section, "upstreams", "announcements of upstreams", func(s *Settings) *string { return &s.Listeners.Upstreams }),
		address(section, "peers", "gRPC between daemons", func(s *Settings) *string { return &s.Listeners.Peers }),
		address(section, "gossip", "UDP between daemons", func(s *Settings) *string { return &s.Listeners.Gossip }),
		address(section, "platform", "liveness, readiness and metrics", func(s *Settings) *string { return &s.Listeners.Platform }),
	}
}

func membershipKeys() []Key {
	const section = "membership"
	return []Key{
		addressList(section, "seeds", "gossip addresses of other instances, separated by commas", func(s *Settings) *[]string { return &s.Membership.Seeds }),
		secret(section, "secretFile", "file with the secret that authenticates gossip, at least 16 bytes", func(s *Settings) *[]byte { return &s.Membership.Secret }).required(),
	}
}

func quorumKeys() []Key {
	const section = "quorum"
	return []Key{
		custom(section, "voters", "list", "1@a@127.0.0.1:7004, ...", "first voter set: number@instance@address of the peers' listener, separated by commas", setVoters).required(),
		duration(section, "tick", "50ms", 5*time.Millisecond, time.Second, "unit of election and heartbeat times", func(s *Settings) *time.Duration { return &s.Quorum.TickInterval }),
		number(section, "snapshotEntries", "1000", 10, 1000000, "log entries after which the log is compacted", func(s *Settings) *int { return &s.Quorum.SnapshotEntries }),
		duration(section, "proposalTimeout", "5s", 100*time.Millisecond, time.Minute, "greatest wait for a commit", func(s *Settings) *time.Duration { return &s.Quorum.ProposalTimeout }),
	}
}

func operatorKeys() []Key {
	const section = "operators"
	return []Key{
		custom(section, "tokens", "list", "team:sha256, ...", "teams with the SHA-256 of their token in hexadecimal, separated by commas", setTokens),
		file(section, "certificate", "PEM certificate of the operators' API", func(s *Settings) *string { return &s.Operators.Certificate }),
		file(section, "key", "PEM key of the operators' API", func(s *Settings) *string { return &s.Operators.Key }),
	}
}

func peerKeys() []Key {
	const section = "peers"
	return []Key{
		file(section, "certificate", "PEM certificate for mutual TLS between daemons", func(s *Settings) *string { return &s.Peers.Certificate }),
		file(section, "key", "PEM key for mutual TLS between daemons", func(s *Settings) *string { return &s.Peers.Key }),
		file(section, "authority", "PEM certificate authority of the daemons", func(s *Settings) *string { return &s.Peers.Authority }),
	}
}

func upstreamKeys() []Key {
	const section = "upstreams"
	return []Key{
		secret(section, "tokenFile", "file with the token that authenticates announcements", func(s *Settings) *[]byte { return &s.Upstreams.Token }),
		duration(section, "confirmationAge", "3s", 200*time.Millisecond, 3*time.Second, "greatest age of a confirmation for new work", func(s *Settings) *time.Duration { return &s.Upstreams.HeartbeatTimeout }),
		duration(section, "stepTimeout", "2s", 10*time.Millisecond, time.Minute, "greatest time of one step of an engine", func(s *Settings) *time.Duration { return &s.Upstreams.StepTimeout }),
	}
}

func limitKeys() []Key {
	const section = "limits"
	return []Key{
		size(section, "maxBody", "4MiB", 1<<10, 1<<30, "greatest body of a request", func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
		number(section, "maxHeader", "65536", 4096, 1<<20, "greatest header of a request, in bytes", func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
		duration(section, "readTimeout", entry.DefaultReadTimeout.String(), time.Second, time.Hour, "greatest time to read a request", func(s *Settings) *time.Duration { return &s.Limits.ReadTimeout }),
		duration(section, "writeTimeout", entry.DefaultWriteTimeout.String(), time.Second, time.Hour, "greatest time to write 64 KiB of an answer", func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout }),
		duration(section, "idleTimeout", entry.DefaultIdleTimeout.String(), time.Second, time.Hour, "greatest time between requests of a connection", func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
		number(section, "maxConnections", strconv.Itoa(entry.DefaultMaxConnections), 1, 1000000, "greatest number of open connections of a listener", func(s *Settings) *int { return &s.Limits.MaxConnections }),
		size(section, "memory", "256MiB", 64<<20, 1<<40, "memory that the daemon may use; above 32 MiB, a sixth is for heads and a quarter for bodies of requests, and a quarter for responses of upstreams", func(s *Settings) *int64 { return &s.Limits.MemoryBytes }),
		number(section, "maxDescriptors", strconv.Itoa(entry.DefaultMaxDescriptors), 128, 10000000, "descriptors that the daemon may open; nearly half is for connections of clients", func(s *Settings) *int { return &s.Limits.MaxDescriptors }),
	}
}

func requestKeys() []Key {
	const section = "requests"
	return []Key{
		duration(section, "deadline", "1m", 100*time.Millisecond, time.Hour, "time for an answer if the caller names none", func(s *Settings) *time.Duration { return &s.Requests.DefaultDeadline }),
		duration(section, "maxDeadline", "10m", 100*time.Millisecond, 24*time.Hour, "greatest time that a caller may ask for", func(s *Settings) *time.Duration { return &s.Requests.MaxDeadline }),
		number(section, "queueLength", "1000", 0, 1000000, "greatest number of waiting requests", func(s *Settings) *int { return &s.Requests.QueueLength }),
	}
}

func orderKeys() []Key {
	const section = "orders"
	return []Key{
		number(section, "shards", "2", 1, 256, "number of ledger groups; the same on all instances", func(s *Settings) *int { return &s.Orders.Shards }),
		duration(section, "retention", "24h", 10*time.Minute, 10000*time.Hour, "time that the key of an order is kept", func(s *Settings) *time.Duration { return &s.Orders.Retention }),
		number(section, "maxRecords", "50000", 1, 100000000, "greatest number of kept keys of a shard; at the bound new orders are refused", func(s *Settings) *int { return &s.Orders.MaxRecords }),
		size(section, "maxBytes", "32MiB", 1<<20, 1<<40, "kept answers of a shard", func(s *Settings) *int64 { return &s.Orders.MaxBytes }),
		size(section, "maxAnswer", "64KiB", 1<<10, 4<<20, "greatest answer of an order that is kept for replay", func(s *Settings) *int64 { return &s.Orders.MaxResponseBytes }),
	}
}

func repairKeys() []Key {
	const section = "repair"
	return []Key{
		size(section, "layerBytes", "1GiB", 1, 1<<40, "size of the weights of one layer", func(s *Settings) *int64 { return &s.Repair.LayerBytes }),
		size(section, "weightRate", "1GiB", 1, 1<<40, "what the engines of a data centre load from the weight store in a second", func(s *Settings) *int64 { return &s.Repair.WeightBytesPerSecond }),
	}
}

func logKeys() []Key {
	const section = "log"
	return []Key{
		choice(section, "level", "info", []string{"debug", "info", "warn", "error"}, "least level that is logged", func(s *Settings) *string { return &s.Log.Level }),
		choice(section, "format", "json", []string{"json", "console"}, "form of the log lines", func(s *Settings) *string { return &s.Log.Format }),
	}
}

func faultKeys() []Key {
	return []Key{
		boolean("faults", "injection", "false", "whether the platform listener accepts POST /faults; for tests only", func(s *Settings) *bool { return &s.Faults.Injection }),
	}
}

func setVoters(s *Settings, value string) error {
	s.Quorum.InitialVoters = nil
	for _, item := range splitList(value) {
		v, err := parseVoter(item)
		if err != nil {
			return err
		}
		s.Quorum.InitialVoters = append(s.Quorum.InitialVoters, v)
	}
	return nil
}

func parseVoter(item string) (Voter, error) {
	fields := strings.Split(item, "@")
	if len(fields) != 3 {
		return Voter{}, errorf("%q is not of the form number@instance@address", item)
	}
	id, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil || id == 0 {
		return Voter{}, errorf("%q: the voter number is not a positive integer", item)
	}
	if err := checkAddress(fields[2]); err != nil {
		return Voter{}, err
	}
	return Voter{ID: quorum.VoterID(id), Instance: fleet.InstanceID(fields[1]), Address: fields[2]}, nil
}

func setTokens(s *Settings, value string) error {
	s.Operators.Tokens = make(map[string]fleet.TeamID)
	for _, item := range splitList(value) {
		team, digest, ok := strings.Cut(item, ":")
		if !ok || team == "" || len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
			return errorf("an item is not of the form team:sha256 with 64 lower-case hexadecimal digits")
		}
		if _, duplicate := s.Operators.Tokens[digest]; duplicate {
			return errorf("two items have the same SHA-256")
		}
		s.Operators.Tokens[digest] = fleet.TeamID(team)
	}
	return nil
}
