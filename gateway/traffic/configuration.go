package traffic

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one published version. It is immutable.
type Configuration struct {
	// Version orders configurations; it rises with each one.
	Version int64
	// Routes are in no particular order.
	Routes []*Route
	// Services are by name.
	Services map[string]*Service
	// Workspaces are by key.
	Workspaces map[string]*Workspace
	// HasWorkspaces tells that callers need a key on routes that are not public.
	HasWorkspaces bool
	// Limits bound what a caller may send.
	Limits Limits

	byHost map[string][]*Route
}

// Index prepares Match. It must be called once before the value is shared.
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

// Match returns the route of a host with the longest prefix of path, or nil.
// A port in host is ignored.
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

// Repeat tells what may be done with a request after it was sent.
type Repeat int

// The values of Repeat.
const (
	// RepeatNever marks requests that run at most once.
	RepeatNever Repeat = iota
	// RepeatFreely marks idempotent requests.
	RepeatFreely
)

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeat tells whether a request may run more than once.
	Repeat Repeat
	// Stream tells that answers are event streams.
	Stream bool
	// Resume tells that a broken stream may go on at another endpoint.
	Resume bool
	// UsesPrompt tells that requests carry prompt parts.
	UsesPrompt bool
	// Public routes need no key.
	Public bool
	// Timeout bounds a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
	// Priority is the rank; 0 goes first.
	Priority int
	// MaxSends is the largest number of endpoints that may run one request.
	MaxSends int
	// Shares are the services that take the route's requests.
	Shares []Share
}

// MayRepeat reports whether a request may run again after it may have run.
func (r *Route) MayRepeat() bool {
	return r.Repeat == RepeatFreely || (r.Stream && r.Resume)
}

// Allows reports whether the route sends requests to the service.
func (r *Route) Allows(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Pick returns the service of a request by its hash, or "" if there is none.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(hash % uint64(total))
	for _, share := range r.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return ""
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a pool of endpoints of one kind.
type Service struct {
	Name string
	// Engine is set for services that run language models.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// MemoryTokens is the size of one engine's memory, in tokens.
	MemoryTokens int
}

// Workspace is a tenant of the deployment.
type Workspace struct {
	Name string
	// Priority is the rank of the workspace's requests, valid if HasPriority.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero values mean no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
