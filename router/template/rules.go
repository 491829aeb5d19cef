package template

import "strings"

// Rules is a compiled template. It is immutable and safe for concurrent use.
type Rules struct {
	// Workspace is the workspace to which the rules apply.
	Workspace string `json:"workspace"`
	// TemplateVersion is the version of the published template.
	TemplateVersion int64 `json:"template_version"`
	// ParameterVersion is the version of the published parameter values; 0 if there
	// are none.
	ParameterVersion int64 `json:"parameter_version"`
	// Completion holds the rules for model work.
	Completion Completion `json:"completion"`
	// Routes are the routes for calls to plain services, in order of precedence.
	Routes []Route `json:"routes,omitempty"`
}

// Completion holds the rules for model work.
type Completion struct {
	// Models are the models that may serve the workspace.
	Models []ModelChoice `json:"models"`
	// MaxTokens limits the length of an answer, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Priority is the class of requests that specify none.
	Priority Priority `json:"priority,omitempty"`
	// Share is the workspace's weight relative to other workspaces under load. The
	// default is 1.
	Share float64 `json:"share,omitempty"`
	// TimeoutMS limits the time of a request, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// ModelChoice is a model that may serve a workspace.
type ModelChoice struct {
	// Model is the model's name.
	Model string `json:"model"`
	// Adapter is the name of the adapter to use with the model, if any.
	Adapter string `json:"adapter,omitempty"`
	// Weight is the relative share of chats that use the model. A model of weight 0
	// serves only requests that ask for it by name.
	Weight float64 `json:"weight,omitempty"`
}

// Route assigns calls with a method and path to a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path pattern; a segment in braces matches any non-empty segment.
	Path string `json:"path"`
	// Service is the group of VMs that serves the calls.
	Service string `json:"service"`
	// Idempotent reports whether a call may be repeated.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS limits the time of a call, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// Match returns the first route for method and path, and whether there is one.
func (r *Rules) Match(method, path string) (Route, bool) {
	for _, route := range r.Routes {
		if route.Method == method && matchPath(route.Path, path) {
			return route, true
		}
	}
	return Route{}, false
}

// matchPath reports whether path matches the pattern, segment by segment.
func matchPath(pattern, path string) bool {
	want := strings.Split(pattern, "/")
	got := strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i, segment := range want {
		wildcard := strings.HasPrefix(segment, "{")
		if wildcard && got[i] == "" {
			return false
		}
		if !wildcard && segment != got[i] {
			return false
		}
	}
	return true
}
