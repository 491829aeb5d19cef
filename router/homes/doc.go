// Package homes decides which router is the home of an engine and which one is the backup of a
// home, and from when on this router may act as either after the published list has changed.
//
// The package does no I/O and reads no clock.
package homes
