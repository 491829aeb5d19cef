package traffic

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one published version of the routes, services, workspaces and limits.
// It is immutable after Index.
type Configuration struct {
	// Version increases with each published configuration.
	Version int64
	// Routes holds all routes in no particular order.
	Routes []*Route
	// Services holds the services by name.
	Services map[string]*Service
	// Workspaces maps each caller's key to its workspace.
	Workspaces map[string]*Workspace
	// HasWorkspaces reports whether routes that are not public require a key.
	HasWorkspaces bool
	// Limits bounds what a caller may send.
	Limits Limits
	// PublishedServices and PublishedWorkspaces hold all services and workspaces in the order of the document, for checks
	// of it. Services and Workspaces lack those that a later one replaces, and workspaces without keys.
	PublishedServices   []*Service
	PublishedWorkspaces []PublishedWorkspace

	byHost map[string][]*Route
}

// Index builds the lookup table of Match. It must be called once before the configuration
// is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for _, route := range c.Routes {
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
	for _, routes := range c.byHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route of the host with the longest matching path prefix, or nil. It ignores
// a port in host.
func (c *Configuration) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RetryPolicy specifies whether a request may be retried after it was sent.
type RetryPolicy int

// Values of RetryPolicy.
const (
	// RetryNever is for requests that must run at most once.
	RetryNever RetryPolicy = iota
	// RetryFreely is for idempotent requests.
	RetryFreely
)

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// RetryPolicy specifies whether a request may run more than once.
	RetryPolicy RetryPolicy
	// Stream reports whether responses are event streams.
	Stream bool
	// Resume reports whether an interrupted stream may be resumed at another endpoint.
	Resume bool
	// UsesPrompt reports whether requests carry prompt parts.
	UsesPrompt bool
	// Public reports whether the route requires no key.
	Public bool
	// Timeout bounds the duration of a request; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the target latency of the response, or of a stream's first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that meets the objective.
	MaxEventGap time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxExecutions is the maximum number of endpoints that may execute one request.
	MaxExecutions int
	// Regions are the regions whose endpoints may execute the requests; none means all.
	Regions []string
	// TrafficSplit lists the services that receive the route's requests, with their weights.
	TrafficSplit []Share
}

// Retryable reports whether a request that may have been executed may be sent again.
func (r *Route) Retryable() bool {
	return r.RetryPolicy == RetryFreely || (r.Stream && r.Resume)
}

// Includes reports whether the route sends requests to the service.
func (r *Route) Includes(service string) bool {
	for _, share := range r.TrafficSplit {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService returns the service for a request with the given hash, in proportion to the
// weights. It returns "" if no service has a positive weight.
func (r *Route) PickService(hash uint64) string {
	total := 0
	for _, share := range r.TrafficSplit {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, share := range r.TrafficSplit {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return ""
}

// Share is a service and its weight within the traffic split of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a named group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is set for services whose endpoints run language models, and nil otherwise.
	Engine *Engine
	// WarmUpTime is how long an endpoint is cold after its start; 0 if it is not.
	WarmUpTime time.Duration
	// WarmUpRate is the number of requests per second that an endpoint can take from all VMs together
	// while it is cold; 0 if that is not limited.
	WarmUpRate float64
}

// HasWarmUpRate reports whether the service limits the requests to cold endpoints. A service that is not defined, nil, does
// not. Packages choice and warmup must agree on it, so that exactly one of them limits the requests to an endpoint.
func (s *Service) HasWarmUpRate() bool {
	return s != nil && s.WarmUpRate > 0
}

// Engine describes the language model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine processes concurrently.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache, in tokens.
	CacheTokens int
}

// Workspace is a tenant of the deployment. Its callers share its keys and its priority.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Regions are the regions whose endpoints may execute the workspace's requests; none means all.
	Regions []string
}

// Limits bounds what a caller may send. A zero value means that no limit is configured.
type Limits struct {
	// HeaderBytes bounds the request line and header, BodyBytes the body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
}
