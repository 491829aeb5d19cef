package configcheck

import (
	"fmt"
	"strconv"
	"strings"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// Compare returns what changes when next replaces the configuration in force: version and limits, then routes, services
// and workspaces, each sorted by name. Fields that gateways do not use are not compared.
func Compare(inForce, next *traffic.Configuration) []Difference {
	differences := compareFields("configuration", generalEntry(inForce), generalEntry(next))
	differences = append(differences, compareEntries("route", routeEntries(inForce), routeEntries(next))...)
	differences = append(differences, compareEntries("service", serviceEntries(inForce), serviceEntries(next))...)
	return append(differences, compareEntries("workspace", workspaceEntries(inForce), workspaceEntries(next))...)
}

// generalEntry returns the version, the limits, and whether keys are required.
func generalEntry(c *traffic.Configuration) *entry {
	return &entry{fields: []field{
		newField(platform.FieldVersion, c.Version),
		newField(platform.FieldHeaderBytes, c.Limits.HeaderBytes),
		newField(platform.FieldBodyBytes, c.Limits.BodyBytes),
		newField(platform.FieldHeaderTimeout, c.Limits.HeaderTimeout),
		newField(platform.FieldIdleTimeout, c.Limits.IdleTimeout),
		{"requires keys", strconv.FormatBool(c.HasWorkspaces)},
	}}
}

func routeEntries(c *traffic.Configuration) []entry {
	entries := make([]entry, 0, len(c.Routes))
	for _, r := range c.Routes {
		entries = append(entries, entry{name: r.Name, fields: []field{
			newField(platform.FieldHost, r.Host),
			newField(platform.FieldPrefix, r.Prefix),
			newField(platform.FieldKind, describeKind(r)),
			newField(platform.FieldPublic, r.Public),
			newField(platform.FieldUsesPrompt, r.UsesPrompt),
			newField(platform.FieldResume, r.Resume),
			newField(platform.FieldTimeout, r.Timeout),
			newField(platform.FieldObjective, r.LatencyObjective),
			newField(platform.FieldEventGap, r.MaxEventGap),
			{platform.FieldPriority, strconv.Itoa(r.Priority)},
			newField(platform.FieldMaxExecutions, r.MaxExecutions),
			newField(platform.FieldRegions, strings.Join(r.Regions, ",")),
			newField(platform.FieldTrafficSplit, describeSplit(r.TrafficSplit)),
		}})
	}
	return entries
}

func describeKind(r *traffic.Route) string {
	switch {
	case r.Stream:
		return "stream"
	case r.RetryPolicy == traffic.RetryFreely:
		return "idempotent"
	default:
		return "at most once"
	}
}

func describeSplit(shares []traffic.Share) string {
	texts := make([]string, 0, len(shares))
	for _, share := range shares {
		texts = append(texts, share.Service+":"+strconv.Itoa(share.Weight))
	}
	return strings.Join(texts, ",")
}

func serviceEntries(c *traffic.Configuration) []entry {
	entries := make([]entry, 0, len(c.PublishedServices))
	for _, s := range c.PublishedServices {
		engine := ""
		if s.Engine != nil {
			engine = fmt.Sprintf("slots %d, cache tokens %d", s.Engine.Slots, s.Engine.CacheTokens)
		}
		entries = append(entries, entry{name: s.Name, fields: []field{
			newField(platform.FieldEngine, engine),
			newField(platform.FieldWarmUpTime, s.WarmUpTime),
			newField(platform.FieldWarmUpRate, s.WarmUpRate),
		}})
	}
	return entries
}

func workspaceEntries(c *traffic.Configuration) []entry {
	entries := make([]entry, 0, len(c.PublishedWorkspaces))
	for _, w := range c.PublishedWorkspaces {
		priority := none
		if w.HasPriority {
			priority = strconv.Itoa(w.Priority)
		}
		entries = append(entries, entry{name: w.Name, keys: w.Keys, fields: []field{
			{platform.FieldPriority, priority},
			newField(platform.FieldRegions, strings.Join(w.Regions, ",")),
		}})
	}
	return entries
}
