package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/budget"
	"cardamompoint.example/cardamompoint/gateway/choice"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/limit"
	"cardamompoint.example/cardamompoint/gateway/quarantine"
	"cardamompoint.example/cardamompoint/gateway/reuse"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/gateway/warmup"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/metrics"
	"cardamompoint.example/cardamompoint/platform"
)

// Gateway serves callers on one VM.
type Gateway struct {
	// settings holds the settings at the start of the process. bounds holds the current bounds,
	// which Reload replaces.
	settings *traffic.Settings
	bounds   atomic.Pointer[traffic.Bounds]
	tracker  *knowledge.Tracker
	// table holds the state of the endpoints, members that of the other VMs.
	table   *choice.Table
	members *gossip.Table
	// limits keeps the requests to endpoints below the limits that they name.
	limits *limit.Limiter
	// warmUps keeps the requests to cold endpoints below what these take.
	warmUps *warmup.Limiter
	// idleResets keeps the endpoints that reset idle connections.
	idleResets *reuse.Resets
	// crashes finds prompt parts on which engines crash.
	crashes       *quarantine.Ledger
	budget        *budget.Budget
	pool          *upstream.Pool
	bodyQuota     *bodyQuota
	responseQuota *bodyQuota
	shedders      *shedders
	peers         *peerClient
	// reader reads the store, follower gets its contents from other VMs.
	reader   *knowledge.Reader
	follower *knowledge.PeerReader
	// reports sends this VM's reports and receives those of others.
	reports *gossip.Exchange

	metrics *metrics.Gateway
	// droppedLines returns the number of log lines that the log sink dropped.
	droppedLines func() int64

	// incarnation is the start time of the process in Unix milliseconds.
	incarnation int64
	// rankTieBreaker is the tie-breaker of this VM when VMs are ranked for reading the store.
	rankTieBreaker uint64
	started        clock.Boot
	// startTimeouts bounds the waits of a VM that starts later than others.
	startTimeouts startTimeouts
	// firstStartTimes bounds the waits in the first start of the whole fleet.
	firstStartTimes atomic.Pointer[firstStartTimes]
	// linger is how long new connections are still accepted after SIGTERM, unless the grace
	// period is too short.
	linger time.Duration
	// stopping reports whether this VM is stopping; shutdown is then set.
	stopping atomic.Bool
	shutdown atomic.Pointer[shutdownPlan]
	// longest holds how long answers take.
	longest *longestTimes
	// unread holds how long requests lay unread before the process read them.
	unread *longestTimes
	// learned reports whether this VM knows the locations of prompt parts, so that peers can
	// query it.
	learned atomic.Bool
	// locationsKnown is closed when requests no longer have to wait for the locations of prompt
	// parts that this VM learns after its start. markLocationsKnown closes it.
	locationsKnown     chan struct{}
	markLocationsKnown func()
	// active is the number of callers' requests in progress.
	active atomic.Int64
	// callerConns are the connections of callers, nil until the VM listens for them. closures counts
	// those that were closed.
	callerConns atomic.Pointer[callerConns]
	closures    callerClosures
}

// New returns a Gateway that has opened its port for reports but does not run yet.
func New(settings *traffic.Settings) (*Gateway, error) {
	g := &Gateway{
		settings:       settings,
		incarnation:    time.Now().UnixMilli(),
		started:        clock.Now(),
		rankTieBreaker: gossip.RankOf(settings.IP, 0).TieBreaker,
		startTimeouts:  defaultStartTimeouts,
		linger:         defaultLinger,
		pool:           upstream.NewPool(),
		bodyQuota:      newBodyQuota(settings.MemoryBytes, bodyMemoryShare),
		responseQuota:  newBodyQuota(settings.MemoryBytes, responseMemoryShare),
		locationsKnown: make(chan struct{}),
		shedders:       newShedders(),
		longest:        newLongestTimes(),
		unread:         newLongestTimes(),
		crashes:        quarantine.NewLedger(rand.Float64()),
		table:          choice.NewTable(settings.FailureDomain, settings.Bounds.LoadMultiple),
	}
	g.setBounds(settings.Bounds)
	g.firstStartTimes.Store(&defaultFirstStartTimes)
	g.markLocationsKnown = sync.OnceFunc(func() { close(g.locationsKnown) })
	instruments, err := metrics.NewGateway()
	if err != nil {
		return nil, err
	}
	g.metrics = instruments
	g.closures.metrics = instruments
	g.droppedLines = func() int64 { return 0 }
	g.warmUps = warmup.New(g.warmUpVMs, g.warmUpBounds, g.rankTieBreaker^uint64(g.incarnation))
	g.tracker = knowledge.NewTracker(g.applySnapshot)
	g.tracker.SetEntryLifetime(settings.EntryLifetime)
	g.members = gossip.NewTable(settings.IP, seedIPs(settings.Seeds))
	g.tracker.SetReserved(newOwnAddresses(settings, g.members).contains)
	g.budget = budget.New(g.retryLimits, g.fleetSize, g.retriesKnownSince())
	g.idleResets = reuse.New()
	g.limits = limit.New(g.vmCount, g.rankTieBreaker^uint64(g.incarnation))
	g.peers = newPeerClient(settings.FirstPeerPort)
	g.follower = knowledge.NewPeerReader(g, g.tracker)
	g.reader = knowledge.NewReader(platform.NewStore(settings.StoreAddress), g.tracker, g.shouldReadStore, g.othersProbe)
	if err := g.addGauges(); err != nil {
		return nil, err
	}
	return g, g.openExchange()
}

// seedIPs returns the IP addresses of control addresses.
func seedIPs(seeds []string) []string {
	var ips []string
	for _, seed := range seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			klog.ErrorS(err, "member: a seed is not a valid address", "seed", seed)
			continue
		}
		ips = append(ips, parsed.Addr().String())
	}
	return ips
}

// openExchange opens the UDP port for reports between VMs.
func (g *Gateway) openExchange() error {
	address := &net.UDPAddr{IP: net.ParseIP(g.settings.IP), Port: g.settings.FirstPeerPort}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return eris.Wrap(err, "can't listen on the port for reports")
	}
	g.reports = gossip.NewExchange(gossip.ExchangeOptions{
		Table:      g.members,
		Conn:       conn,
		Identity:   gossip.Report{Address: g.settings.IP, Incarnation: g.incarnation, FailureDomain: g.settings.FailureDomain},
		FillReport: g.fillReport,
		OnReport:   g.applyReport,
		OnLost:     func(address string) { g.table.ForgetVM(address, clock.Now()) },
	})
	return nil
}

// Reload applies the bounds of changed settings. Changed addresses take effect only after a
// restart of the process.
func (g *Gateway) Reload(next *traffic.Settings) {
	g.setBounds(next.Bounds)
	klog.InfoS("gateway: settings were reloaded", "settings", next.Checksum, "started_with", g.settings.Checksum)
}

// leavingGraceShare is the share of the maximum drain delay for which a leaving endpoint still
// receives requests that no other endpoint can take. Requests that wait before they are sent
// need the rest of the delay.
const leavingGraceShare = 0.5

func (g *Gateway) setBounds(bounds traffic.Bounds) {
	g.bounds.Store(&bounds)
	g.table.SetLeavingGrace(scale(bounds.MaxDrainDelay, leavingGraceShare))
}

func (g *Gateway) retryLimits() budget.Limits {
	bounds := g.bounds.Load()
	return budget.Limits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}
}

// retriesKnownSince returns the time from which on the retries of this VM are known. In the first
// start of the fleet no process ran before this one, so none is unknown.
func (g *Gateway) retriesKnownSince() clock.Boot {
	if g.settings.FirstStart {
		return g.started.Add(-g.retryLimits().Window)
	}
	return g.started
}

// fleetSize returns the number of VMs that share the retry budget, and whether it is known.
func (g *Gateway) fleetSize() (int, bool) {
	return g.members.FleetSize(clock.Now())
}

// applySnapshot applies a new snapshot of the store.
func (g *Gateway) applySnapshot(snapshot *knowledge.Snapshot) {
	g.table.Update(snapshot)
	g.warmUps.Update(snapshot, clock.Now())
}

// unknownFleetSize is the number of VMs that a VM assumes to share cold endpoints while it knows none of the others. It is
// that of the largest fleet under test; a number that is too large only lowers this VM's rate.
const unknownFleetSize = 300

// warmUpVMs returns the number of VMs that share cold endpoints.
func (g *Gateway) warmUpVMs() int {
	count, known := g.fleetSize()
	if !known && !g.settings.FirstStart {
		return unknownFleetSize
	}
	return count
}

func (g *Gateway) warmUpBounds() warmup.Bounds {
	bounds := g.bounds.Load()
	return warmup.Bounds{Excess: bounds.WarmUpExcess, Slack: bounds.WarmUpSlack}
}

// vmCount returns the number of VMs that are alive, this one included.
func (g *Gateway) vmCount() int {
	count, _ := g.members.CountAlive(clock.Now())
	return count
}

// fillReport fills in the current state of this VM for the next report to the others.
func (g *Gateway) fillReport(report *gossip.Report) {
	now := clock.Now()
	report.Leaving = g.stopping.Load()
	report.HasPartLocations = g.learned.Load()
	report.Capacity = g.settings.Capacity
	report.Newest = g.tracker.Newest()
	report.StoreLost = g.reader.StoreLost()
	report.AgeMS = -1
	if at, ok := g.tracker.ConfirmedAt(); ok {
		report.AgeMS = now.Sub(at).Milliseconds()
	}
	if configuration := g.tracker.Snapshot().Configuration; configuration != nil {
		report.ConfigVersion = configuration.Version
	}
	g.table.FillReport(report, now)
	g.crashes.FillReport(report, now)
	g.limits.FillReport(report, now)
	g.idleResets.FillReport(report, now)
}

// applyReport applies a report of another VM.
func (g *Gateway) applyReport(report gossip.Report, now clock.Boot) {
	g.table.ApplyReport(report, now)
	g.crashes.ApplyReport(report, now)
	g.limits.ApplyReport(report, now)
	g.idleResets.ApplyReport(report, now)
}

// Run serves until stop ends and the requests in progress have finished, or the grace period
// has expired.
func (g *Gateway) Run(stop context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.readStore(background)
	go g.follower.Run(background)
	go g.follower.FollowLeader(background)
	go g.reports.Send(background)
	go g.reports.Receive(background)
	defer g.reports.Close()
	go g.pruneConnections(background)
	go newLearner(g).run(background)
	go (&findingLog{tracker: g.tracker, settings: g.settings}).run(background)
	return g.serve(stop)
}

// poolPruneInterval is the interval at which idle connections are checked.
const poolPruneInterval = 500 * time.Millisecond

// noIdle is the longest idle time of connections that may not be kept at all.
const noIdle = time.Duration(-1)

// pruneConnections closes idle connections to endpoints that are no longer published, and those that
// endpoints seem to have given up.
func (g *Gateway) pruneConnections(ctx context.Context) {
	ticker := time.NewTicker(poolPruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		snapshot := g.tracker.Snapshot()
		now := clock.Now()
		g.pool.Prune(func(key string) time.Duration {
			endpoint, listed := snapshot.Endpoints[key]
			if !listed {
				return noIdle
			}
			return g.idleResets.MaxIdle(endpoint, 0, false, now)
		})
	}
}
