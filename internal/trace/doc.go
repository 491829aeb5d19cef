// Package trace finds the log lines of one request, endpoint or configuration version in
// the logs of any number of gateways and prints them in the order of time.
package trace
