package admission

// responseWeight is the weight of one response time in the estimate of a route.
const responseWeight = 0.1

// routeState is what is known of the requests of one route.
type routeState struct {
	// response is the smoothed response time of targets in seconds.
	response mean
}
