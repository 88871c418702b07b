package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// targetUtilization is the fraction of the capacity up to which streams are admitted.
	// The rest absorbs streams that are longer than the mean.
	targetUtilization = 0.85
	// horizon is the time in which the active streams are brought to the target. It is
	// about the age of the sums plus one interval between two sums.
	horizon = time.Second
	// reserveDivisor divides the allowed rate to give the rate that each level leaves to all
	// less urgent ones together.
	reserveDivisor = 16
	// MaxPairs is the maximum number of pairs of account and level in a Demand that is
	// sent to others. It bounds the size of a message.
	MaxPairs = 512
)

// Level is a service level of the streams of one service. Level 0 is the most urgent.
type Level int

// Pair is an account and a level. The account is empty for streams without one.
type Pair struct {
	Account fleet.AccountID
	Level   Level
}

// Count counts the streams of one Pair in the last Window.
type Count struct {
	Offered, Admitted int
}

func (c Count) add(o Count) Count {
	return Count{Offered: c.Offered + o.Offered, Admitted: c.Admitted + o.Admitted}
}

// Demand counts the streams of one service in the last Window, at one gateway or at
// several.
type Demand struct {
	// Finished is the number of admitted streams that ended.
	Finished int
	Pairs    map[Pair]Count
}

// StartRate returns the number of streams that are admitted per second.
func (d Demand) StartRate() float64 {
	admitted := 0
	for _, c := range d.Pairs {
		admitted += c.Admitted
	}
	return float64(admitted) / Window.Seconds()
}

// FinishedRate returns the number of admitted streams that end per second.
func (d Demand) FinishedRate() float64 { return float64(d.Finished) / Window.Seconds() }

// Add returns the sum of two demands. It changes d, which must not be in use elsewhere,
// but not o.
func (d Demand) Add(o Demand) Demand {
	if d.Pairs == nil {
		d.Pairs = make(map[Pair]Count, len(o.Pairs))
	}
	d.Finished += o.Finished
	for k, c := range o.Pairs {
		d.Pairs[k] = d.Pairs[k].add(c)
	}
	return d
}

// Limit returns d with at most MaxPairs pairs, as long as there are fewer levels than
// that. The accounts with the fewest offered streams are added up under an empty account.
func (d Demand) Limit() Demand {
	if len(d.Pairs) <= MaxPairs {
		return d
	}
	ks := make([]Pair, 0, len(d.Pairs))
	anonymous := make(map[Level]bool)
	for k := range d.Pairs {
		if k.Account != "" {
			ks = append(ks, k)
		}
		anonymous[k.Level] = true // there may be an empty account at each level afterwards
	}
	slices.SortFunc(ks, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(d.Pairs[b].Offered, d.Pairs[a].Offered), comparePairs(a, b))
	})
	kept := min(max(0, MaxPairs-len(anonymous)), len(ks))
	l := Demand{Finished: d.Finished, Pairs: make(map[Pair]Count, MaxPairs)}
	for _, k := range ks[:kept] {
		l.Pairs[k] = d.Pairs[k]
	}
	for _, k := range ks[kept:] {
		r := Pair{Level: k.Level}
		l.Pairs[r] = l.Pairs[r].add(d.Pairs[k])
	}
	for k, c := range d.Pairs {
		if k.Account == "" {
			l.Pairs[k] = l.Pairs[k].add(c)
		}
	}
	return l
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.Account, b.Account))
}

// times returns d with all counts multiplied by x.
func (d Demand) times(x float64) Demand {
	scale := func(n int) int { return int(math.Round(float64(n) * x)) }
	m := Demand{Finished: scale(d.Finished), Pairs: make(map[Pair]Count, len(d.Pairs))}
	for k, c := range d.Pairs {
		m.Pairs[k] = Count{Offered: scale(c.Offered), Admitted: scale(c.Admitted)}
	}
	return m
}

// Room is the capacity of the engines of a service and its use, in streams of mean size.
// A Capacity of 0 means that it is unknown.
type Room struct {
	Capacity, Active float64
}

// LevelPlan is the part of a Plan that concerns one level.
type LevelPlan struct {
	Level Level
	// Offered and Admitted are rates in streams per second.
	Offered, Admitted float64
	// unlisted is the fraction for accounts that are not in the demand.
	unlisted float64
}

// Fraction returns the fraction of the streams of the level that is admitted.
func (l LevelPlan) Fraction() float64 {
	if l.Offered <= 0 {
		return 1
	}
	return l.Admitted / l.Offered
}

// Plan says which fraction of the streams of each account and level is admitted.
type Plan struct {
	// Offered and Allowed are the rates at which streams are offered and may start, in
	// streams per second.
	Offered, Allowed float64
	// Levels holds the levels of the demand in the order of their urgency.
	Levels []LevelPlan
	// fractions is nil if everything is admitted.
	fractions map[Pair]float64
}

// NewPlan distributes the streams that may start in the next second over the demand. The
// levels are served in the order of their urgency. Within a level no account receives more
// than another one whose demand is not met.
func NewPlan(r Room, d Demand) Plan {
	byLevel := make(map[Level][]accountDemand)
	p := Plan{Allowed: math.Inf(1)}
	for k, c := range d.Pairs {
		if c.Offered > 0 {
			byLevel[k.Level] = append(byLevel[k.Level], accountDemand{account: k.Account, offered: float64(c.Offered) / Window.Seconds()})
		}
	}
	for l, as := range byLevel {
		// The order makes sums of floating-point numbers reproducible.
		slices.SortFunc(as, func(a, b accountDemand) int {
			return cmp.Or(cmp.Compare(a.offered, b.offered), cmp.Compare(a.account, b.account))
		})
		n := LevelPlan{Level: l, unlisted: 1}
		for _, a := range as {
			n.Offered += a.offered
		}
		n.Admitted = n.Offered
		p.Offered += n.Offered
		p.Levels = append(p.Levels, n)
	}
	slices.SortFunc(p.Levels, func(a, b LevelPlan) int { return cmp.Compare(a.Level, b.Level) })
	if r.Capacity <= 0 {
		return p
	}
	p.Allowed = max(0, d.FinishedRate()+(targetUtilization*r.Capacity-r.Active)/horizon.Seconds())
	if p.Offered <= p.Allowed {
		return p
	}
	p.divideLevels()
	p.fractions = make(map[Pair]float64, len(d.Pairs))
	for i := range p.Levels {
		n := &p.Levels[i]
		as := byLevel[n.Level]
		share := fairShare(as, n.Admitted)
		n.unlisted = min(1, share/as[0].offered)
		for _, a := range as {
			p.fractions[Pair{Account: a.account, Level: n.Level}] = min(1, share/a.offered)
		}
	}
	return p
}

// divideLevels divides the allowed rate among the levels. Each level leaves a part to the
// less urgent ones, so that none of them starves, but never so much that a less urgent
// level has a higher fraction than a more urgent one.
func (p *Plan) divideLevels() {
	left, offered, fraction := p.Allowed, p.Offered, 1.0
	for i := range p.Levels {
		n := &p.Levels[i]
		less := offered - n.Offered
		reserve := min(p.Allowed/reserveDivisor, left*less/offered)
		n.Admitted = max(0, min(n.Offered*fraction, left-reserve))
		fraction = n.Fraction()
		left -= n.Admitted
		offered = less
	}
	// A level whose fraction was limited by that of a more urgent one leaves a rest.
	for i := range p.Levels {
		n := &p.Levels[i]
		rest := min(n.Offered-n.Admitted, max(0, left))
		n.Admitted += rest
		left -= rest
	}
}

// accountDemand is the offered rate of one account at one level.
type accountDemand struct {
	account fleet.AccountID
	offered float64
}

// fairShare returns the rate up to which each account is served, so that the accounts
// receive admitted in total. as is sorted by offered rate.
func fairShare(as []accountDemand, admitted float64) float64 {
	left := admitted
	for i, a := range as {
		share := left / float64(len(as)-i)
		if a.offered > share {
			return share
		}
		left -= a.offered
	}
	return math.Inf(1)
}

// limited reports whether the plan refuses any stream.
func (p Plan) limited() bool { return p.fractions != nil }

// Level returns the plan of a level. A level without demand has the fractions of the next
// more urgent level that has one, and 1 if there is none.
func (p Plan) Level(l Level) LevelPlan {
	found := LevelPlan{Level: l, unlisted: 1}
	for _, n := range p.Levels {
		if n.Level <= l {
			found = n
		}
	}
	return found
}

// Fraction returns the fraction of the streams of an account and level that is admitted,
// from 0 to 1.
func (p Plan) Fraction(k Pair) float64 {
	if !p.limited() {
		return 1
	}
	if f, ok := p.fractions[k]; ok {
		return f
	}
	if len(p.fractions) >= MaxPairs-len(p.Levels) {
		// The account is probably one of those that were added up.
		if f, ok := p.fractions[Pair{Level: k.Level}]; ok {
			return f
		}
	}
	return p.Level(k.Level).unlisted
}
