package twirp

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/places"
)

// processMessage converts process to a message, and process is its inverse.
func processMessage(process sardineknot.ServerProcess) *rpc.Process {
	return &rpc.Process{Server: string(process.Name), Born: process.Born}
}

func process(message *rpc.Process) sardineknot.ServerProcess {
	return sardineknot.ServerProcess{Name: sardineknot.BackendServerName(message.GetServer()), Born: message.GetBorn()}
}

// placeRequest returns the request that message holds.
func placeRequest(message *rpc.TakeRequest) sardineknot.PlaceRequest {
	r := message.GetReport()
	q := sardineknot.PlaceRequest{
		ID:       sardineknot.PlaceID{Host: sardineknot.EntryHostID(r.GetHost()), Incarnation: sardineknot.Incarnation(r.GetIncarnation()), Number: message.GetNumber()},
		Priority: int(message.GetPriority()), RoutePriority: int(message.GetRoutePriority()),
		Account: sardineknot.ClientAccountName(message.GetAccount()), Cost: float64(message.GetCost()),
		Target: micros.Duration(message.GetTargetMicros()), Deadline: micros.Duration(message.GetDeadlineMicros()),
		CallerDeadline: micros.Duration(message.GetCallerDeadlineMicros()),
		Trait:          sardineknot.Trait(message.GetTrait()), Usual: micros.Duration(message.GetUsualMicros()),
	}
	for _, n := range message.GetExcluded() {
		q.Excluded = append(q.Excluded, sardineknot.BackendServerName(n))
	}
	return q
}
