// Package examples holds the settings and the published documents of two
// deployments, for the demo and the tests.
package examples

import "embed"

// Files has one folder for each deployment, with the routers' settings and
// what is published.
//
//go:embed gelek urverk
var Files embed.FS

// Deployments are the names of the folders.
var Deployments = []string{"gelek", "urverk"}
