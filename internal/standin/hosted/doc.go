// Package hosted stands in for the users' platform: its store, and workers that
// answer as its protocol tells, with the faults that tests ask for. It speaks
// the platform's wire and is used by tests and the demo only.
package hosted
