// Package peerv1 holds the messages and the gRPC service that daemons offer each
// other. All files but this one are generated from peer.proto.
package peerv1
