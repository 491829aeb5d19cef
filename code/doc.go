// Package code defines the numbered result codes of cardamompoint.
//
// Each code has a number, a name, an HTTP status, what is known about whether
// the work was run, and whether the caller may come back. The table in
// docs/ERRORS.md is checked against this package by a test.
package code
