// Package examples embeds the settings and published documents of two example
// deployments, for the demo and the tests.
package examples

import "embed"

// Files contains one folder for each deployment, with the settings of its
// routers and its published documents.
//
//go:embed gelek urverk
var Files embed.FS

// Deployments are the names of the example deployments.
var Deployments = []string{"gelek", "urverk"}
