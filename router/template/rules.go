package template

import "strings"

// Rules is a compiled template. It is immutable and may be read concurrently.
type Rules struct {
	// Workspace is the workspace that the rules belong to.
	Workspace string `json:"workspace"`
	// TemplateVersion is the version of the published template.
	TemplateVersion int64 `json:"template_version"`
	// ParameterVersion is the version of the published parameter values; 0 if
	// none are published.
	ParameterVersion int64 `json:"parameter_version"`
	// Completion routes model work.
	Completion Completion `json:"completion"`
	// Routes route calls to plain services.
	Routes []Route `json:"routes,omitempty"`
}

// Completion routes model work.
type Completion struct {
	// Models are the models that may serve the workspace, with weights.
	Models []ModelChoice `json:"models"`
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Priority is the class of requests that name none.
	Priority Priority `json:"priority,omitempty"`
	// Share weighs the workspace against the others under load. Usual: 1.
	Share float64 `json:"share,omitempty"`
	// TimeoutMS bounds one request, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// ModelChoice is one model that may serve a workspace.
type ModelChoice struct {
	// Model names the model.
	Model string `json:"model"`
	// Adapter names the adapter to load with it, if any.
	Adapter string `json:"adapter,omitempty"`
	// Weight is the model's part of the chats. 0 takes it out of use.
	Weight float64 `json:"weight,omitempty"`
}

// Route sends calls of a method and path to a plain service.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path; a segment in braces matches any one segment.
	Path string `json:"path"`
	// Service is the group of VMs that serves the calls.
	Service string `json:"service"`
	// Idempotent tells whether a call may be repeated.
	Idempotent bool `json:"idempotent"`
	// TimeoutMS bounds one call, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// Match returns the first route for method and path.
func (r *Rules) Match(method, path string) (Route, bool) {
	for _, route := range r.Routes {
		if route.Method == method && matchPath(route.Path, path) {
			return route, true
		}
	}
	return Route{}, false
}

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
