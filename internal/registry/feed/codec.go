package feed

import (
	"math"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// sizeUnits is the number of units of UpstreamUse.size in a request of mean size.
const sizeUnits = 100

func statsToProto(us []usage.UpstreamStats) []*peerv1.UpstreamUse {
	ps := make([]*peerv1.UpstreamUse, len(us))
	for i, u := range us {
		ps[i] = &peerv1.UpstreamUse{
			Id: string(u.ID), Active: uint32(u.Active), Failed: u.Failed, Served: u.Served, Full: u.OutOfMemory, Pace: float32(u.Slowdown),
			Size: uint32(math.Round(u.Size * sizeUnits)),
		}
	}
	return ps
}

func statsFromProto(ps []*peerv1.UpstreamUse) []usage.UpstreamStats {
	us := make([]usage.UpstreamStats, len(ps))
	for i, p := range ps {
		us[i] = usage.UpstreamStats{
			ID: fleet.UpstreamID(p.GetId()), Active: int(p.GetActive()), Failed: p.GetFailed(), Served: p.GetServed(), OutOfMemory: p.GetFull(),
			Slowdown: float64(p.GetPace()), Size: float64(p.GetSize()) / sizeUnits,
		}
	}
	return us
}

func attemptsToProto(attempts map[fleet.PoolID]budget.Count) []*peerv1.PoolSends {
	var ps []*peerv1.PoolSends
	for id, c := range attempts {
		ps = append(ps, &peerv1.PoolSends{Pool: string(id), Attempts: uint32(c.Attempts), Retries: uint32(c.Retries)})
	}
	return ps
}

func attemptsFromProto(ps []*peerv1.PoolSends) map[fleet.PoolID]budget.Count {
	attempts := make(map[fleet.PoolID]budget.Count, len(ps))
	for _, p := range ps {
		attempts[fleet.PoolID(p.GetPool())] = budget.Count{Attempts: int(p.GetAttempts()), Retries: int(p.GetRetries())}
	}
	return attempts
}

func demandsToProto(demands map[fleet.PoolID]quota.Demand) []*peerv1.PoolDemand {
	var ps []*peerv1.PoolDemand
	for id, d := range demands {
		p := &peerv1.PoolDemand{Pool: string(id), Finished: uint32(d.Finished), Levels: make([]*peerv1.LevelDemand, 0, len(d.Pairs))}
		for k, c := range d.Pairs {
			p.Levels = append(p.Levels, &peerv1.LevelDemand{
				Account: string(k.Account), Level: uint32(k.Level), Offered: uint32(c.Offered), Admitted: uint32(c.Admitted),
			})
		}
		ps = append(ps, p)
	}
	return ps
}

func demandsFromProto(ps []*peerv1.PoolDemand) map[fleet.PoolID]quota.Demand {
	demands := make(map[fleet.PoolID]quota.Demand, len(ps))
	for _, p := range ps {
		d := quota.Demand{Finished: int(p.GetFinished()), Pairs: make(map[quota.Pair]quota.Count, len(p.GetLevels()))}
		for _, l := range p.GetLevels() {
			k := quota.Pair{Account: fleet.AccountID(l.GetAccount()), Level: quota.Level(l.GetLevel())}
			d.Pairs[k] = quota.Count{Offered: int(l.GetOffered()), Admitted: int(l.GetAdmitted())}
		}
		demands[fleet.PoolID(p.GetPool())] = d
	}
	return demands
}

// EntryToProto encodes an entry. The age of its last heartbeat is the time from it to now.
func EntryToProto(e registry.Entry, now time.Time) *peerv1.UpstreamEntry {
	return &peerv1.UpstreamEntry{
		Id: string(e.ID), Born: uint64(e.Incarnation), Sequence: e.Sequence, Pool: string(e.Pool),
		Address: e.Address, DataCentre: string(e.DataCentre), Slots: uint32(e.Slots),
		State: peerv1.UpstreamState(e.State), Card: e.Card,
		FromLayer: uint32(e.Layers.From), ToLayer: uint32(e.Layers.To),
		AgeUs:  ageToProto(e.LastHeartbeat, now),
		ColdMs: uint64(e.WarmUpRemaining.Milliseconds()),
	}
}

// EntryFromProto decodes an entry. Its last heartbeat is as long before now as its age says.
func EntryFromProto(p *peerv1.UpstreamEntry, now time.Time) registry.Entry {
	return registry.Entry{
		ID: fleet.UpstreamID(p.GetId()), Incarnation: fleet.Incarnation(p.GetBorn()), Sequence: p.GetSequence(),
		Pool: fleet.PoolID(p.GetPool()), Address: p.GetAddress(), DataCentre: fleet.DataCentreID(p.GetDataCentre()),
		Slots: int(p.GetSlots()), State: registry.State(p.GetState()), Card: p.GetCard(),
		Layers:          upstream.LayerRange{From: fleet.Layer(p.GetFromLayer()), To: fleet.Layer(p.GetToLayer())},
		WarmUpRemaining: time.Duration(p.GetColdMs()) * time.Millisecond,
		LastHeartbeat:   lastHeartbeatFromProto(p.GetAgeUs(), now),
	}
}

func renewalToProto(r registry.Renewal, now time.Time) *peerv1.UpstreamSign {
	return &peerv1.UpstreamSign{
		Id: string(r.ID), Born: uint64(r.Incarnation), Sequence: r.Sequence, AgeUs: ageToProto(r.LastHeartbeat, now), Digest: r.Digest,
	}
}

func renewalFromProto(p *peerv1.UpstreamSign, now time.Time) registry.Renewal {
	return registry.Renewal{
		ID: fleet.UpstreamID(p.GetId()), Incarnation: fleet.Incarnation(p.GetBorn()), Sequence: p.GetSequence(),
		Digest: p.GetDigest(), LastHeartbeat: lastHeartbeatFromProto(p.GetAgeUs(), now),
	}
}

// ageToProto returns the time since a heartbeat in microseconds, and at least 0.
func ageToProto(lastHeartbeat, now time.Time) uint64 {
	return uint64(max(0, now.Sub(lastHeartbeat)).Microseconds())
}

func lastHeartbeatFromProto(ageUs uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(ageUs) * time.Microsecond)
}

func promptsToProto(rs []quarantine.Record, now time.Time) []*peerv1.PromptRecord {
	ps := make([]*peerv1.PromptRecord, len(rs))
	for i, r := range rs {
		p := &peerv1.PromptRecord{Pool: string(r.Pool), Part: string(r.Part), Depth: uint32(r.Depth)}
		for e, at := range r.Crashes {
			p.Crashes = append(p.Crashes, &peerv1.EngineCrash{Engine: uint32(e), AgeMs: ageMs(at, now)})
		}
		if !r.LastProgress.IsZero() {
			age := ageMs(r.LastProgress, now)
			p.ProgressAgeMs = &age
		}
		ps[i] = p
	}
	return ps
}

func promptsFromProto(ps []*peerv1.PromptRecord, now time.Time) []quarantine.Record {
	rs := make([]quarantine.Record, len(ps))
	for i, p := range ps {
		r := quarantine.Record{
			Key:   quarantine.Key{Pool: fleet.PoolID(p.GetPool()), Part: fleet.PromptPartID(p.GetPart())},
			Depth: int(p.GetDepth()), Crashes: make(map[quarantine.Engine]time.Time, len(p.GetCrashes())),
		}
		for _, c := range p.GetCrashes() {
			r.Crashes[quarantine.Engine(c.GetEngine())] = timeOfAgeMs(c.GetAgeMs(), now)
		}
		if p.ProgressAgeMs != nil {
			r.LastProgress = timeOfAgeMs(p.GetProgressAgeMs(), now)
		}
		rs[i] = r
	}
	return rs
}

// ageMs returns the time since at in milliseconds, and at least 0.
func ageMs(at, now time.Time) uint64 { return uint64(max(0, now.Sub(at)).Milliseconds()) }

func timeOfAgeMs(age uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}
