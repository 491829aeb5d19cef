// Package template compiles the routing templates that operators publish for their
// workspaces.
//
// A template declares parameters with a type, a default and bounds. Any value in
// the template may be replaced by {"parameter": "name"}. The parameter values are
// published separately, so that a parameter can change without a new template.
// Compile resolves both into Rules, which routers evaluate.
package template
