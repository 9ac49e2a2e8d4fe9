// Package peerpb contains the generated messages and gRPC services that the
// processes of zinniaseam use among themselves. The source is peer.proto.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
