package router

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"

	"cardamompoint.example/cardamompoint/metrics"
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/hold"
	"cardamompoint.example/cardamompoint/router/homes"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/once"
	"cardamompoint.example/cardamompoint/router/peer"
	"cardamompoint.example/cardamompoint/router/placement"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// Router is a router process. It is safe for concurrent use.
type Router struct {
	settings *settings.Router
	config   source.ConfigReader
	lister   source.VMLister
	engine   endpoint.Engine
	// loadClient reads load reports; its traffic counts as control traffic.
	loadClient endpoint.Engine
	service    endpoint.Service
	metrics    *metrics.Metrics

	store             *config.Store
	members           *member.Table
	loadTracker       *balance.LoadTracker
	chatContexts      *affinity.Index
	crashedChats      *crashedChats
	modelPools        *placement.Pools
	records           *once.Table
	keyClock          *once.Clock
	keyWindow         once.KeyWindow
	membershipHistory *once.MembershipHistory
	clearanceGranter  *once.Granter
	retryBudget       *retryBudget

	admission      *balance.Admission
	estimator      *balance.Estimator
	setHistory     *homes.History
	freezeDetector *freezeDetector
	loadPolls      singleflight.Group

	workerCounts *workerCounts
	placer       *placer
	streams      *hold.Table

	// control and work are the clients for other routers. Only the traffic of
	// control is counted.
	control           *peer.Client
	work              *peer.Client
	controlBytes      peer.ByteCounter
	clearanceAttempts atomic.Int64
	network           Network

	configConfirmation confirmation
	listConfirmation   confirmation
	sleepGuard         *member.SleepGuard
	// probing holds the addresses of the peers that are being probed.
	probing sync.Map
	// syncingConfig is set while the configuration is fetched from a peer.
	syncingConfig atomic.Bool
	// unresolvedRoots holds this router's root hash and that of a peer for which the
	// last fetch from the peer changed nothing.
	unresolvedRoots atomic.Value

	// synced is set when the initial synchronization is complete.
	synced atomic.Bool
	// draining is set when the shutdown starts, closing when new requests are
	// refused.
	draining atomic.Bool
	closing  atomic.Bool
	// drainEnd is when the shutdown interrupts requests in progress; nil before closing is set.
	drainEnd   atomic.Pointer[time.Time]
	inProgress atomic.Int64
	// peerWork counts requests of peers in progress.
	peerWork atomic.Int64
	tasks    sync.WaitGroup
	servers  []*http.Server
}

// New returns a Router that has not been started.
func New(options Options) (*Router, error) {
	meters, err := metrics.New()
	if err != nil {
		return nil, err
	}
	s := options.Settings
	r := &Router{
		settings:     s,
		config:       options.Config,
		lister:       options.Lister,
		engine:       options.Engine,
		loadClient:   options.Engine,
		service:      options.Service,
		metrics:      meters,
		store:        config.NewStore(),
		chatContexts: affinity.NewIndex(maxChatContexts, chatContextTTL),
		crashedChats: newCrashedChats(),
		modelPools:   placement.NewPools(),
		records:      once.NewTable(s.Limits.Records),
		retryBudget:  newRetryBudget(s.Limits.RetryRatio),

		workerCounts: newWorkerCounts(),
		placer:       newPlacer(options.Orderer, s.Limits),
	}
	r.members = member.NewTable(member.Identity{
		Address:       s.Peers,
		Name:          s.Name,
		FailureDomain: s.FailureDomain,
		Incarnation:   uuid.NewString(),
	}, milliseconds(s.Timing.SuspectMS))
	r.initAdmission(time.Now())
	r.sleepGuard = member.NewSleepGuard(minSleepGap, maxStaleView)
	r.network = options.Network
	r.control = peer.NewClient(s.Secret, peer.NewTransportWith(&r.controlBytes, r.dial()))
	r.work = peer.NewClient(s.Secret, peer.NewTransportWith(nil, r.dial()))
	r.streams = hold.NewTable(milliseconds(s.Timing.ResumeMS), r.cancelStream)
	r.initClearance()
	r.initClients()
	return r, r.registerGauges()
}

// dial returns the function that opens connections to other VMs; nil means TCP.
func (r *Router) dial() peer.Dial {
	if r.network == nil {
		return nil
	}
	return r.network.Dial
}

// initAdmission creates the parts that admit work to engines.
func (r *Router) initAdmission(now time.Time) {
	timing := r.settings.Timing
	suspect := milliseconds(timing.SuspectMS)
	lease, margin := leaseDuration(suspect), leaseMargin(suspect)
	r.loadTracker = balance.NewLoadTracker(r.settings.Limits, lease-margin)
	r.admission = balance.NewAdmission(r.loadTracker, lease, margin, now)
	r.estimator = balance.NewEstimator()
	r.setHistory = homes.NewHistory(staleListWait(suspect, milliseconds(timing.HeartbeatMS)), lease)
	r.freezeDetector = newFreezeDetector(now)
}

// initClients creates the clients that the options did not provide.
func (r *Router) initClients() {
	s := r.settings
	if r.config == nil || r.lister == nil {
		client := source.NewClient(s.Platform, peer.NewTransportWith(&r.controlBytes, r.dial()))
		r.config, r.lister = client, client
	}
	if r.engine == nil {
		r.engine = endpoint.NewEngineClient(peer.NewTransportWith(nil, r.dial()), milliseconds(s.Timing.ProgressMS), milliseconds(s.Timing.StallMS))
		r.loadClient = endpoint.NewEngineClient(peer.NewTransportWith(&r.controlBytes, r.dial()), pollTimeout, pollTimeout)
	}
	if r.placer.orders == nil {
		r.placer.orders = endpoint.NewOrdersClient(peer.NewTransportWith(&r.controlBytes, r.dial()), milliseconds(s.Timing.ProgressMS))
	}
	if r.service == nil {
		r.service = endpoint.NewServiceClient(peer.NewTransportWith(nil, r.dial()))
	}
}

// registerGauges registers the gauges that read the router's state.
func (r *Router) registerGauges() error {
	gauges := []struct {
		name, help string
		read       func() int64
	}{
		{"cardamompoint.in_progress", "Requests of callers in progress.", r.inProgress.Load},
		{"cardamompoint.peer_work", "Requests of other routers in progress.", r.peerWork.Load},
		{"cardamompoint.home_streams", "Streams that this router accounts for as home, including those held for the caller to resume.", func() int64 { return int64(r.streams.Len()) }},
		{"cardamompoint.control_bytes", "Bytes of control traffic since the start.", r.controlBytes.Total},
		{"cardamompoint.records", "Outcomes kept for repeated keys.", func() int64 { return int64(r.records.Len()) }},
		{"cardamompoint.yields", "Caller keys that this router has granted to a process.", func() int64 { return int64(r.clearanceGranter.Len()) }},
		{"cardamompoint.config_revision", "Configuration revision in force.", func() int64 { return r.store.Snapshot().Revision }},
		{"cardamompoint.list_version", "Version of the list of VMs.", func() int64 { return r.members.View().List.Version }},
	}
	for _, gauge := range gauges {
		if err := r.metrics.RegisterGauge(gauge.name, gauge.help, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// ready reports whether the load balancer may send callers to this router.
func (r *Router) ready() bool {
	if !r.synced.Load() || r.draining.Load() {
		return false
	}
	now := time.Now()
	r.recordListSpread(now)
	return r.setHistory.Ready(now)
}
