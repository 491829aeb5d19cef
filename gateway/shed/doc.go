// Package shed decides which requests a VM refuses while the endpoints of a service
// are overloaded.
//
// Full endpoints reject whatever request comes next. Without load shedding, urgent
// requests and those of workspaces that send little would be rejected as often as the
// requests that cause the overload. A Shedder refuses about as many requests as exceed
// the capacity, starting with the least urgent ones of the workspaces that use most. Among equally
// urgent ones, those that can no longer meet their objective are refused first.
// VMs do not coordinate: the load balancer gives each about the same mix of requests.
package shed
