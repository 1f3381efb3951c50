package gateway

import "dogwoodline.example/fleet"

// contended reports whether calls to a service are ordered by urgency, wait at the
// fronts, and go to servers by what all fronts have measured: if the settings say that
// callers compete for places, or if the servers of the service differ lastingly in speed.
func (s *Scheduler) contended(service string) bool {
	return s.contendedCapacity || s.fleet.Uneven(service)
}

// chooseBySpeed makes the fleet choose the backend server by the time at which the call
// is expected to end. The next turn of a conversation prefers the server that generated
// the turn before; first turns have no server to prefer.
func (s *Scheduler) chooseBySpeed(j *job, request *fleet.Request) {
	request.Contended = true
	request.CallsInMemory = s.admission.callsInMemory(j.service)
	switch {
	case !j.route.Sticky:
	case j.request.PreviousTurn != "":
		request.Home = j.home
	case j.service.Engine != nil:
		request.Affinity = ""
	}
}
