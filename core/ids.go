// Package core defines the value types shared by all packages of zinniaseam:
// identifiers, request outcomes, priorities and weight manifests. It performs
// no I/O and imports no other package of the module.
package core

// VMID identifies a VM of the deployment. It is the ID in the platform's VM list.
type VMID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, a group of availability zones.
type RegionID string

// PoolID identifies a pool of endpoints that serve one model.
type PoolID string

// ModelID identifies a model in callers' requests.
type ModelID string

// VersionID identifies one immutable set of weights of a model.
type VersionID string

// ServiceID identifies a plain service, one that runs no model.
type ServiceID string

// TeamID identifies a group of callers that share one capacity weight.
type TeamID string

// PromptPart identifies a part of a prompt that calls may have in common.
type PromptPart string

// RequestID identifies a caller's request across all of its attempts.
type RequestID string
