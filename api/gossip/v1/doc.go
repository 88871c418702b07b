// Package gossipv1 holds the messages of the gossip between daemons. All files
// but this one are generated from gossip.proto.
package gossipv1
