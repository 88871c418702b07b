// Package gossipv1 defines the messages of the gossip protocol between daemons. All
// files but this one are generated from gossip.proto.
package gossipv1
