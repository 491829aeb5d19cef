package configcheck

import (
	"fmt"
	"math"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// checker collects the findings of one configuration.
type checker struct {
	configuration *traffic.Configuration
	errors        []Finding
	warnings      []Finding
	// limit bounds the findings of each severity that are kept, total counts all.
	limit int
	total int
	// used holds the services that get requests from at least one route.
	used map[string]bool
}

// Check returns the findings of a configuration, errors first, each severity in the order of the document. settings has
// the regions of the failure domains; if it is nil, names of regions are not checked.
func Check(configuration *traffic.Configuration, settings *traffic.Settings) []Finding {
	findings, _ := CheckFirst(configuration, settings, math.MaxInt)
	return findings
}

// CheckFirst returns the first findings that Check returns, at most limit, and the number of all. Findings that it leaves
// out are counted without building their text, so that a gateway can check a large configuration with faults in each entry.
func CheckFirst(configuration *traffic.Configuration, settings *traffic.Settings, limit int) (findings []Finding, total int) {
	c := &checker{configuration: configuration, limit: limit, used: map[string]bool{}}
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	c.checkWorkspaces()
	c.checkCommonRegions()
	if settings != nil {
		c.checkRegionNames(settings)
	}
	findings = append(c.errors, c.warnings...)
	return findings[:min(len(findings), limit)], c.total
}

// CheckVersion returns the finding for a version that gateways would ignore since it is not above the one in force.
func CheckVersion(next, inForce *traffic.Configuration) []Finding {
	c := &checker{limit: 1}
	if next.Version <= inForce.Version {
		c.addWarning(outsideLists(platform.FieldVersion), "version %d is not above %d, the one in force, so gateways ignore it", next.Version, inForce.Version)
	}
	return c.warnings
}

// addError adds an error, with its text only if it is kept.
func (c *checker) addError(at place, format string, args ...any) {
	c.total++
	if len(c.errors) < c.limit {
		c.errors = append(c.errors, Finding{Severity: SeverityError, Code: code.InvalidDocument, Path: at.String(), Text: fmt.Sprintf(format, args...)})
	}
}

// addWarning adds a warning, with its text only if it is kept.
func (c *checker) addWarning(at place, format string, args ...any) {
	c.total++
	if len(c.warnings) < c.limit {
		c.warnings = append(c.warnings, Finding{Severity: SeverityWarning, Path: at.String(), Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) checkRoutes() {
	type match struct{ host, prefix string }
	matches := make(map[match]int, len(c.configuration.Routes))
	names := make(map[string]int, len(c.configuration.Routes))
	for i, route := range c.configuration.Routes {
		host, _ := splitPort(route.Host)
		key := match{strings.ToLower(host), route.Prefix}
		if first, repeated := recordFirst(matches, key, i); repeated {
			c.addError(inRoute(i, platform.FieldPrefix), "route %q has the host and prefix of route %q at %s, so only one of them gets requests",
				route.Name, c.configuration.Routes[first].Name, inRoute(first, ""))
		}
		if first, repeated := recordFirst(names, route.Name, i); repeated {
			c.addWarning(inRoute(i, platform.FieldName), "route %q has the name of the one at %s", route.Name, inRoute(first, ""))
		}
		c.checkMatch(i, route)
		c.checkSplit(i, route)
		c.checkRouteLimits(i, route)
	}
}

// recordFirst records i as the first index of a key. If the key has one already, it returns that and true.
func recordFirst[K comparable](indexes map[K]int, key K, i int) (first int, repeated bool) {
	if first, repeated = indexes[key]; !repeated {
		indexes[key] = i
	}
	return first, repeated
}

// splitPort returns a host without its port, and whether it has one. Colons of an IPv6 address in brackets begin no port.
func splitPort(host string) (name string, hasPort bool) {
	at := strings.LastIndexByte(host, ':')
	if at < 0 || at < strings.LastIndexByte(host, ']') {
		return host, false
	}
	return host[:at], true
}

// checkMatch checks whether requests can match the host and the prefix of a route.
func (c *checker) checkMatch(i int, route *traffic.Route) {
	if route.Host == "" {
		c.addError(inRoute(i, platform.FieldHost), "route %q can never match, since it has no host", route.Name)
	} else if _, hasPort := splitPort(route.Host); hasPort {
		c.addError(inRoute(i, platform.FieldHost), "route %q can never match, since its host %q has a port", route.Name, route.Host)
	}
	switch {
	case route.Prefix == "":
		c.addWarning(inRoute(i, platform.FieldPrefix), "route %q has no prefix and matches all paths", route.Name)
	case !strings.HasPrefix(route.Prefix, "/"):
		c.addError(inRoute(i, platform.FieldPrefix), "route %q can never match, since its prefix %q does not begin with a slash", route.Name, route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		c.addWarning(inRoute(i, platform.FieldPrefix), "the prefix %q of route %q does not end with a slash, so it also matches longer names", route.Prefix, route.Name)
	}
}

// checkSplit checks the traffic split of a route and records the services that it uses.
func (c *checker) checkSplit(i int, route *traffic.Route) {
	positive := false
	for _, share := range route.TrafficSplit {
		if share.Weight > 0 {
			positive, c.used[share.Service] = true, true
		}
		if share.Weight < 0 {
			c.addError(inRoute(i, platform.FieldTrafficSplit), "route %q gives service %q the negative weight %d", route.Name, share.Service, share.Weight)
		}
		if c.configuration.Services[share.Service] == nil {
			c.addWarning(inRoute(i, ""), "route %q names service %q, which is not defined", route.Name, share.Service)
		}
	}
	if !positive {
		c.addError(inRoute(i, platform.FieldTrafficSplit), "route %q has no service with a positive weight, so its requests are refused", route.Name)
	}
}

// checkRouteLimits finds limits of a route that contradict each other.
func (c *checker) checkRouteLimits(i int, route *traffic.Route) {
	if route.Timeout > 0 && route.LatencyObjective > route.Timeout {
		c.addWarning(inRoute(i, platform.FieldObjective), "the objective of route %q, %v, is above its timeout, %v", route.Name, route.LatencyObjective, route.Timeout)
	}
	// The event gap of other routes has no effect.
	if route.Stream && route.Timeout > 0 && route.MaxEventGap > route.Timeout {
		c.addWarning(inRoute(i, platform.FieldEventGap), "the event gap of route %q, %v, is above its timeout, %v", route.Name, route.MaxEventGap, route.Timeout)
	}
	// Streams that are not resumed run only once, too, but are commonly published with several executions.
	if !route.Retryable() && !route.Stream && route.MaxExecutions > 1 {
		c.addWarning(inRoute(i, platform.FieldMaxExecutions), "route %q allows %d executions, but its requests may run only once", route.Name, route.MaxExecutions)
	}
}

func (c *checker) checkServices() {
	last := make(map[string]int, len(c.configuration.PublishedServices))
	for i, service := range c.configuration.PublishedServices {
		last[service.Name] = i
	}
	for i, service := range c.configuration.PublishedServices {
		if last[service.Name] != i {
			c.addError(inService(i, ""), "service %q is defined again at %s, which replaces it", service.Name, inService(last[service.Name], ""))
			continue
		}
		if !c.used[service.Name] {
			c.addWarning(inService(i, ""), "no route uses service %q", service.Name)
		}
		if service.WarmUpRate > 0 && service.WarmUpTime == 0 {
			c.addWarning(inService(i, platform.FieldWarmUpRate), "service %q has a warm-up rate, but no warm-up time", service.Name)
		}
		if service.WarmUpTime > 0 && service.WarmUpRate == 0 {
			c.addWarning(inService(i, platform.FieldWarmUpTime), "service %q has a warm-up time, but no warm-up rate", service.Name)
		}
	}
}

func (c *checker) checkLimits() {
	limits := &c.configuration.Limits
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.addWarning(outsideLists(platform.FieldLimits+"."+platform.FieldHeaderTimeout), "the header timeout, %v, is above the idle timeout, %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

func (c *checker) checkWorkspaces() {
	holders := make(map[string]int, len(c.configuration.Workspaces))
	names := make(map[string]int, len(c.configuration.PublishedWorkspaces))
	for i, workspace := range c.configuration.PublishedWorkspaces {
		if first, repeated := recordFirst(names, workspace.Name, i); repeated {
			c.addWarning(inWorkspace(i, platform.FieldName), "workspace %q has the name of the one at %s", workspace.Name, inWorkspace(first, ""))
		}
		if len(workspace.Keys) == 0 {
			c.addWarning(inWorkspace(i, platform.FieldKeys), "workspace %q has no keys, so no request belongs to it", workspace.Name)
		}
		c.checkKeys(i, workspace, holders)
	}
}

// checkKeys finds empty keys of a workspace and those that an earlier one holds too. holders are the indexes of the
// workspaces that hold each key.
func (c *checker) checkKeys(i int, workspace traffic.PublishedWorkspace, holders map[string]int) {
	for k, key := range workspace.Keys {
		at := inWorkspace(i, platform.FieldKeys)
		at.key = k + 1
		if key == "" {
			c.addError(at, "workspace %q has an empty key, so requests without a key belong to it", workspace.Name)
		}
		if holder, ok := holders[key]; ok && holder != i {
			c.addError(at, "a key of workspace %q is also held by workspace %q at %s, and only the last holder counts",
				workspace.Name, c.configuration.PublishedWorkspaces[holder].Name, inWorkspace(holder, ""))
		}
		holders[key] = i
	}
}
