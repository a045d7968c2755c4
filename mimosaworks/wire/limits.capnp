@0xc41f7e92d06b58a3;
# Messages between holders of token shares.

struct TokenAsk {
  # Answered with TokenGrant. The donor gives only under the same epoch, rate
  # and burst.
  transfer @0 :Text;
  workspace @1 :Text;
  tokens @2 :Float64;
  epoch @3 :UInt64;
  rate @4 :Float64;
  burst @5 :Float64;
}

struct TokenGrant {
  transfer @0 :Text;
  workspace @1 :Text;
  tokens @2 :Float64;
  balance @3 :Float64;
}

struct TokenBalance {
  workspace @0 :Text;
  tokens @1 :Float64;
}

struct TokenBalances {
  # Answered with Ack.
  sender @0 :Text;
  balances @1 :List(TokenBalance);
}
