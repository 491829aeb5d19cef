package hosted

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Route is a route of a Configuration.
type Route struct {
	Name          string  `json:"name"`
	Hostname      string  `json:"hostname"`
	Prefix        string  `json:"prefix"`
	Kind          string  `json:"kind"`
	TimeoutMS     float64 `json:"timeoutMs"`
	LatencyGoalMS float64 `json:"latencyGoalMs"`
	GapTargetMS   float64 `json:"gapTargetMs,omitempty"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"maxAttempts"`
	Public        bool    `json:"public"`
	Sticky        bool    `json:"sticky"`
	Resume        bool    `json:"resumeStreams"`
	// AllowedRegions restricts the regions of the endpoints.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// Service is a service of a Configuration.
type Service struct {
	Name   string         `json:"name"`
	Engine map[string]any `json:"engine,omitempty"`
	// ColdStartS and ColdPerS describe how endpoints warm up.
	ColdStartS float64 `json:"coldStartS,omitempty"`
	ColdPerS   float64 `json:"coldPerS,omitempty"`
}

// Tenant is a workspace of a Configuration, with its keys.
type Tenant struct {
	Name           string   `json:"name"`
	Keys           []string `json:"keys"`
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// Configuration is the document that operators publish.
type Configuration struct {
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]any `json:"limits"`
	Tenants  []Tenant       `json:"tenants"`
}

// Keys of the store.
const (
	configurationKey = "op/config"
	endpointPrefix   = "servers/"
	evacuationPrefix = "op/evacuate/"
)

// defaultDomain is the failure domain of the VMs, and of endpoints whose address has no other one.
const defaultDomain = "domain-a"

// Names in the default configuration.
const (
	Host      = "desk.example"
	Key       = "key-1"
	Workspace = "outlet-1"
)

// DefaultConfiguration returns a configuration with one route of each kind, an engine service
// "engines" and a plain service "plain".
func DefaultConfiguration() Configuration {
	stream := Route{Hostname: Host, Kind: "streaming", TimeoutMS: 8000, LatencyGoalMS: 800, GapTargetMS: 400, Service: "engines", MaxAttempts: 2, Sticky: true}
	chat, roster := stream, stream
	chat.Name, chat.Prefix = "chat", "/chat/"
	roster.Name, roster.Prefix, roster.Resume = "roster", "/roster/", true
	plain := Route{Hostname: Host, TimeoutMS: 1500, LatencyGoalMS: 150, Service: "plain"}
	deposit, lookup := plain, plain
	deposit.Name, deposit.Prefix, deposit.Kind, deposit.MaxAttempts = "deposit", "/deposit/", "non_idempotent", 1
	lookup.Name, lookup.Prefix, lookup.Kind, lookup.MaxAttempts = "lookup", "/lookup/", "idempotent", 2
	open := lookup
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	return Configuration{
		Version: 1,
		Routes:  []Route{chat, roster, deposit, lookup, open},
		Services: []Service{
			{Name: "engines", Engine: map[string]any{"slots": 64, "kvCapacity": 500000}},
			{Name: "plain"},
		},
		Limits:  map[string]any{"headerBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []Tenant{{Name: Workspace, Keys: []string{Key}}},
	}
}

// Publish writes the configuration and returns its revision.
func (s *Store) Publish(configuration Configuration) int64 {
	raw, err := json.Marshal(configuration)
	if err != nil {
		panic(err) // Every value of this type can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = raw
	return s.put(configurationKey, raw)
}

// PutEndpoint writes the entry of an endpoint and returns its revision. All entries under an ID
// are those of one start, except after RestartEndpoint.
func (s *Store) PutEndpoint(id, service, address, state string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered, ok := s.registrations[id]
	if !ok {
		registered = s.newRegistration()
	}
	registered.service, registered.address, registered.state, registered.left = service, address, state, false
	registered.domain = defaultDomain
	if domain, ok := s.domains[address]; ok {
		registered.domain = domain
	}
	return s.register(id, registered)
}

// SetDomain sets the failure domain of the endpoints at an address, for entries that are written from now on.
func (s *Store) SetDomain(address, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.domains[address] = domain
}

// Evacuate writes the operator's order to evacuate a failure domain, and returns its revision.
func (s *Store) Evacuate(domain string) int64 {
	return s.Put(evacuationPrefix+domain, []byte("{}"))
}

// EndEvacuation takes the order back.
func (s *Store) EndEvacuation(domain string) {
	s.Delete(evacuationPrefix + domain)
}

// RestartEndpoint writes the entry of an endpoint that has started again under its ID, and
// returns its revision.
func (s *Store) RestartEndpoint(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, restarted := s.registrations[id], s.newRegistration()
	restarted.service, restarted.address, restarted.domain, restarted.state = before.service, before.address, before.domain, "ready"
	return s.register(id, restarted)
}

// newRegistration returns the registration of an endpoint that starts now. No two endpoints
// start at the same time. The caller must hold s.mu.
func (s *Store) newRegistration() registration {
	s.lastBirthMS = max(time.Now().UnixMilli(), s.lastBirthMS+1)
	return registration{bornMS: s.lastBirthMS}
}

// register writes the next entry of an endpoint and returns its revision. The caller must hold
// s.mu.
func (s *Store) register(id string, registered registration) int64 {
	registered.sequence++
	s.registrations[id] = registered
	return s.put(endpointPrefix+id, registered.entry())
}

// DeleteEndpoint deletes the entry of an endpoint that has left.
func (s *Store) DeleteEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop(id)
	s.remove(endpointPrefix + id)
}

// StopEndpoint makes an endpoint write nothing any more. Its entry stays.
func (s *Store) StopEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop(id)
}

// stop does the same as StopEndpoint. The caller must hold s.mu.
func (s *Store) stop(id string) {
	if registered, ok := s.registrations[id]; ok {
		registered.left = true
		s.registrations[id] = registered
	}
}

// ExpireEndpoint deletes the entry of an endpoint that may still be alive.
func (s *Store) ExpireEndpoint(id string) {
	s.Delete(endpointPrefix + id)
}

// Settings returns the content of a settings file for a process that listens on the given IP
// address. ports are the front, readiness and control ports and the first port for traffic
// between VMs. store is the address of the store.
func Settings(ip string, ports [4]int, store string, seeds []string) string {
	return fmt.Sprintf(`nodeName = "front-%[1]s"
ip = %[1]q
zone = "domain-a"
region = "region-a"
internalPorts = [%[5]d, %[6]d]
seeds = [%[8]s]
bootstrap = true
heartbeatMs = 1200
[zones]
domain-a = "region-a"
[listen]
front = "%[1]s:%[2]d"
ready = "%[1]s:%[3]d"
control = "%[1]s:%[4]d"
[limits]
memoryMb = 284
[bounds]
stableMs = 3000
drainMs = 2000
graceS = 8
configMs = 2000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
retrySlack = 54
reuseWindowS = 10
capFactor = 2
evacuateMs = 2500
[platform]
address = %[7]q
form = "read"
`, ip, ports[0], ports[1], ports[2], ports[3], ports[3]+15, store, quoteAll(seeds))
}

func quoteAll(texts []string) string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = fmt.Sprintf("%q", text)
	}
	return strings.Join(quoted, ", ")
}
