package routebench

import (
	"fmt"
	"strings"
)

// Table renders the results of one deployment. The column "of limit" is the reuse
// as a fraction of the reuse with perfect knowledge in the same scenario.
func Table(d Deployment, results []*Result) string {
	perfect := reuseLimits(results)
	var table strings.Builder
	fmt.Fprintf(&table, "%s: %d routers, %d engines, multiple %.2f\n", d.Name, d.Routers, d.Engines, d.LoadMultiple)
	fmt.Fprintf(&table, "%-9s %-24s %8s %8s %6s %8s %8s %8s %8s %7s %7s %8s %8s\n", "scenario", "way",
		"requests", "refused", "last", "reuse", "of limit", "found", "moved", "max/adm", "max/lag", "asked", "bytes/s")
	for _, r := range results {
		fmt.Fprintf(&table, "%-9s %-24s %8d %8d %6d %8.4f %8.4f %8.4f %8d %7.3f %7.3f %8.3f %8.0f\n", r.Scenario, r.Strategy,
			r.Requests, r.Refused, r.LastResort, r.Reuse(), r.Reuse()/perfect[r.Scenario], ratio(r.Found, r.Spilled), r.Moved,
			r.MaxAdmitted(), r.MaxLagged(), ratio(r.Asked, r.Requests), ratio(r.Bytes, r.Seconds))
	}
	return table.String()
}

// reuseLimits returns the reuse with perfect knowledge by scenario. Router
// replacements don't change it, so that of Steady also applies to Routers.
func reuseLimits(results []*Result) map[string]float64 {
	perfect := map[string]float64{}
	for _, r := range results {
		if r.Strategy == (&PerfectStrategy{}).Name() {
			perfect[r.Scenario] = r.Reuse()
		}
	}
	perfect[Routers.Name] = perfect[Steady.Name]
	return perfect
}
