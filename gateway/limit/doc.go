// Package limit keeps the request rate of each endpoint, summed over all VMs, below the limit that
// the endpoint names. It has no clock and no network.
//
// An overloaded endpoint names how many requests per second it accepts from all VMs together.
// Reports carry these limits and the demand of each VM. Each VM uses a share of a limit that is
// proportional to its share of the demand.
package limit
