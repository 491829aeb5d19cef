package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// checkCommonRegions finds routes and workspaces that have no region in common. Routes with the same regions are compared
// with the workspaces once.
func (c *checker) checkCommonRegions() {
	if !slices.ContainsFunc(c.configuration.PublishedWorkspaces, func(w traffic.PublishedWorkspace) bool { return len(w.Regions) > 0 }) {
		return
	}
	texts := map[string]string{}
	for i, route := range c.configuration.Routes {
		// Requests to public routes belong to no workspace.
		if len(route.Regions) == 0 || route.Public {
			continue
		}
		key := strings.Join(route.Regions, "\x00")
		text, known := texts[key]
		if !known {
			text = c.describeDisjoint(route.Regions)
			texts[key] = text
		}
		if text != "" {
			c.addWarning(inRoute(i, platform.FieldRegions), "route %q has no region in common with %s", route.Name, text)
		}
	}
}

// describeDisjoint names the first workspace that allows none of the regions, and the number of further ones. It returns ""
// if there is none.
func (c *checker) describeDisjoint(regions []string) string {
	first, others := "", 0
	for _, workspace := range c.configuration.PublishedWorkspaces {
		if len(workspace.Regions) == 0 || slices.ContainsFunc(workspace.Regions, func(name string) bool { return slices.Contains(regions, name) }) {
			continue
		}
		if first != "" {
			others++
			continue
		}
		first = fmt.Sprintf("workspace %q", workspace.Name)
	}
	if others > 0 {
		return fmt.Sprintf("%s and %d others", first, others)
	}
	return first
}

// checkRegionNames finds regions that no failure domain of the settings is in.
func (c *checker) checkRegionNames(settings *traffic.Settings) {
	known := map[string]bool{}
	for _, name := range settings.Regions {
		known[name] = true
	}
	check := func(at place, entry, name string, regions []string) {
		for _, region := range regions {
			if !known[region] {
				c.addWarning(at, "%s %q allows region %q, which no failure domain of the settings is in", entry, name, region)
			}
		}
	}
	for i, route := range c.configuration.Routes {
		check(inRoute(i, platform.FieldRegions), "route", route.Name, route.Regions)
	}
	for i, workspace := range c.configuration.PublishedWorkspaces {
		check(inWorkspace(i, platform.FieldRegions), "workspace", workspace.Name, workspace.Regions)
	}
}
