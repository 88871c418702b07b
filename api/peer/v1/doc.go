// Package peerv1 defines the gRPC services between daemons, their messages, and the
// format of stored journals. All Go files except this one are generated from the
// .proto files.
package peerv1
