package core

// Role is the function of a VM in the deployment.
type Role string

// Roles of VMs in the platform's list.
const (
	// RoleEntry is a VM that runs the entry process.
	RoleEntry Role = "entry"
	// RoleEndpoint is a VM that runs a model engine or a plain service, together
	// with the endpoint process.
	RoleEndpoint Role = "endpoint"
)

// VMState is the state of a VM according to the platform.
type VMState string

// States of VMs in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one element of the platform's VM list.
type VM struct {
	ID     VMID     `json:"id"`
	Role   Role     `json:"role"`
	Zone   ZoneID   `json:"zone"`
	Region RegionID `json:"region"`
	// PeerAddr is the IP address and port of the process's gRPC listener.
	PeerAddr string  `json:"peerAddr"`
	State    VMState `json:"state"`
	// Pool is set only on endpoints that serve a model.
	Pool PoolID `json:"pool,omitempty"`
	// Service is set only on endpoints that run a plain service.
	Service ServiceID `json:"service,omitempty"`
}
