package gossip_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
	"github.com/bilberryrock/bilberryrock/internal/membership/packet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// revisionPeriod is the time between configuration changes at 12,000 changes a day.
const revisionPeriod = 7200 * time.Millisecond

// BenchmarkFleet measures the cost of the membership protocol for one daemon at
// several fleet sizes, with authenticated datagrams, upstreams that announce
// themselves every second, 12,000 configuration changes a day and account usages of
// 100 bytes:
//
//	go test -run '^$' -bench Fleet -benchtime 1x ./internal/membership/gossip
//
// The metrics are per daemon. B/s and wire-B/s (with 28 bytes of IP and UDP headers
// per datagram) are the bytes sent, peak-B/s those of the daemon that sends most,
// core-% the share of a CPU core, and MB the live heap. stale-ppm is the share of
// pairs of an instance and a serving upstream of its data centre in which the
// upstream was not usable. detect-periods, leave-periods and revision-periods are the
// times, in periods of 300 ms, until all affected instances knew of a crash, of a
// leaving upstream and of a revision.
func BenchmarkFleet(b *testing.B) {
	for _, s := range []struct{ centres, perCentre, upstreams int }{
		{3, 4, 43}, {5, 12, 1000}, {10, 18, 4000}, {20, 27, 12000},
	} {
		for _, rotate := range []bool{false, true} {
			name := fmt.Sprintf("members=%d/upstreams=%d/rotate=%v", s.centres*s.perCentre, s.upstreams, rotate)
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					measure(b, s.centres, s.perCentre, s.upstreams, rotate)
				}
			})
		}
	}
}

type benchmarkRun struct {
	*simulation
	upstreams  []*simUpstream
	lastChange time.Time
	revision   fleet.Revision
	lastSecond time.Time
	pairs      int
	stale      int
}

func measure(b *testing.B, centres, perCentre, upstreams int, rotate bool) {
	heapBefore := liveHeap()
	w := newSimulation(b, 1, centres, perCentre)
	w.authenticate(b)
	f := &benchmarkRun{simulation: w, lastChange: w.now, lastSecond: w.now}
	for i := range upstreams {
		a := w.newUpstream(i, fleet.DataCentreID(fmt.Sprintf("dc%02d", i%centres)))
		a.rotate = rotate
		f.upstreams = append(f.upstreams, a)
	}
	w.bootAll()
	w.run(50*time.Second, f.drive)
	f.reset()
	const window = 20 * time.Second
	w.run(window, f.drive, f.countStalePairs)
	f.reportMetrics(b, window)
	runtime.GC()
	b.ReportMetric(float64(liveHeap()-heapBefore)/float64(len(w.hosts))/1e6, "MB")
	period := 300 * time.Millisecond
	b.ReportMetric(float64(f.measureLeave())/float64(period), "leave-periods")
	b.ReportMetric(float64(f.measureRevision())/float64(period), "revision-periods")
	b.ReportMetric(float64(f.measureDetection())/float64(period), "detect-periods")
	b.ReportMetric(0, "ns/op")
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (w *simulation) authenticate(b *testing.B) {
	codecs := make([]*packet.Codec, len(w.hosts))
	for i := range codecs {
		codecs[i], _ = packet.NewCodec([]byte("a secret of the fleet"), uint64(w.now.UnixMilli()))
	}
	w.encode = func(h *host, m *gossipv1.Message) []byte {
		data, err := codecs[h.index].Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		return data
	}
	w.decode = func(h *host, data []byte) *gossipv1.Message {
		m, _ := codecs[h.index].Decode(data, w.now)
		return m
	}
}

// drive lets the upstreams announce themselves, changes the configuration every
// revisionPeriod, and lets the instances activate the change.
func (f *benchmarkRun) drive() {
	for _, a := range f.upstreams {
		f.announce(a)
	}
	if f.now.Sub(f.lastChange) >= revisionPeriod {
		f.lastChange = f.now
		f.revision++
		f.hosts[0].core.SetRevision(f.revision, f.now)
	}
	everySecond := f.now.Sub(f.lastSecond) >= time.Second
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		h.core.SetRevision(h.core.HighestRevision(), f.now)
		if everySecond {
			f.lastSecond = f.now
			h.core.SetPools(h.roster.Counts(f.now))
			h.core.SetUsage(make([]byte, 100))
		}
	}
}

func (f *benchmarkRun) countStalePairs() {
	if !f.lastSecond.Equal(f.now) {
		return
	}
	serving := make(map[fleet.DataCentreID]int)
	for _, a := range f.upstreams {
		serving[a.DataCentre]++
	}
	for _, h := range f.hosts {
		f.pairs += serving[h.centre]
		f.stale += serving[h.centre] - h.roster.Counts(f.now)["p"]
	}
}

func (f *benchmarkRun) reset() {
	for _, h := range f.hosts {
		h.sent.messages, h.sent.bytes, h.busyTime = 0, 0, 0
	}
}

func (f *benchmarkRun) reportMetrics(b *testing.B, window time.Duration) {
	var messages, bytes, peak int
	var busy time.Duration
	for _, h := range f.hosts {
		messages += h.sent.messages
		bytes += h.sent.bytes
		peak = max(peak, h.sent.bytes)
		busy += h.busyTime
	}
	daemonSeconds := float64(len(f.hosts)) * window.Seconds()
	b.ReportMetric(float64(messages)/daemonSeconds, "msg/s")
	b.ReportMetric(float64(bytes)/daemonSeconds, "B/s")
	b.ReportMetric(float64(bytes+28*messages)/daemonSeconds, "wire-B/s")
	b.ReportMetric(float64(peak)/window.Seconds(), "peak-B/s")
	b.ReportMetric(100*busy.Seconds()/daemonSeconds, "core-%")
	b.ReportMetric(1e6*float64(f.stale)/float64(f.pairs), "stale-ppm")
	b.ReportMetric(float64(f.falseDeaths), "false-deaths")
}

func (f *benchmarkRun) measureLeave() time.Duration {
	a := f.upstreams[0]
	a.State = upstream.Leaving
	f.announceNow(a)
	a.left = f.now
	return f.runUntil(10*time.Second, func() bool {
		return f.allHosts(a.DataCentre, func(h *host) bool {
			u, _ := h.roster.Get(a.ID)
			return u.State == upstream.Leaving
		})
	}, f.drive)
}

func (f *benchmarkRun) allHosts(centre fleet.DataCentreID, holds func(h *host) bool) bool {
	for _, h := range f.hosts {
		if h.up && (centre == "" || h.centre == centre) && !holds(h) {
			return false
		}
	}
	return true
}

func (f *benchmarkRun) measureRevision() time.Duration {
	f.revision += 1000
	f.hosts[0].core.SetRevision(f.revision, f.now)
	return f.runUntil(30*time.Second, func() bool {
		return f.allHosts("", func(h *host) bool { return h.core.HighestRevision() >= f.revision })
	})
}

func (f *benchmarkRun) measureDetection() time.Duration {
	crashed := f.hosts[len(f.hosts)-1]
	crashed.up = false
	return f.runUntil(30*time.Second, func() bool {
		return f.allHosts(crashed.centre, func(h *host) bool {
			s, _ := f.status(h, crashed)
			return s == membership.Dead
		})
	}, f.drive)
}
