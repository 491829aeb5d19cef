// Package template reads the routing templates that operators publish for
// their workspaces.
//
// A template declares parameters with type, default and bounds. Any value in
// it may be replaced by {"parameter": "name"}. The values are published apart
// from the template, so that a parameter can change without a new template.
// Compile resolves both into Rules, which routers act on.
package template
