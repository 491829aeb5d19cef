package region

import "slices"

// Restriction is the set of regions in which a request may be executed: those that its route and its workspace both
// allow. The zero value allows all regions.
type Restriction struct {
	route     []string
	workspace []string
}

// NewRestriction returns the restriction for the regions that a route and a workspace allow. An empty list allows all.
func NewRestriction(route, workspace []string) Restriction {
	return Restriction{route: route, workspace: workspace}
}

// Restricts reports whether any region is forbidden.
func (r Restriction) Restricts() bool {
	return len(r.route) > 0 || len(r.workspace) > 0
}

// Allows reports whether a request may be executed in a region. A region whose name is not known, "", is allowed only
// if there is no restriction.
func (r Restriction) Allows(name string) bool {
	return allows(r.route, name) && allows(r.workspace, name)
}

// allows reports whether a list of regions allows a region. An empty list allows all.
func allows(list []string, name string) bool {
	return len(list) == 0 || name != "" && slices.Contains(list, name)
}
