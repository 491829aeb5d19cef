package region

import "testing"

// TestRouteAndWorkspaceBothRestrict guards against requests in a region that only one of both allows, or whose name is
// not known, and against refusals where nothing is restricted.
func TestRouteAndWorkspaceBothRestrict(t *testing.T) {
	for _, c := range []struct {
		route, workspace []string
		region           string
		want             bool
	}{
		{nil, nil, "north", true},
		{nil, nil, "", true},
		{[]string{"north"}, nil, "north", true},
		{[]string{"north"}, nil, "south", false},
		{nil, []string{"north"}, "south", false},
		{[]string{"north", "south"}, []string{"south"}, "south", true},
		{[]string{"north", "south"}, []string{"south"}, "north", false},
		{[]string{"north"}, []string{"south"}, "north", false},
		{[]string{"north"}, []string{"south"}, "south", false},
		{[]string{"north"}, nil, "", false},
		{[]string{""}, nil, "", false},
	} {
		r := NewRestriction(c.route, c.workspace)
		if got := r.Allows(c.region); got != c.want {
			t.Errorf("route %v, workspace %v: %q allowed is %v", c.route, c.workspace, c.region, got)
		}
		if got := r.Restricts(); got != (c.route != nil || c.workspace != nil) {
			t.Errorf("route %v, workspace %v: restricted is %v", c.route, c.workspace, got)
		}
	}
}
