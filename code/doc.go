// Package code defines the numbered result codes of cardamompoint.
//
// Each code has a number, a name, an HTTP status, what is known about whether the work
// was executed, and whether the caller may retry. A test checks the table in
// docs/ERRORS.md against this package.
package code
