// Package region decides in which regions a request may be executed.
//
// A route and a workspace may each restrict the regions of the endpoints that execute their requests, for example where
// data must not leave a country. Both restrictions apply to first attempts, retries and handovers, and to the engines
// from which prompt parts are copied.
package region
