// Package trace finds the lines of one request, endpoint or configuration
// version in the logs of any number of gateways and prints them in order.
package trace
