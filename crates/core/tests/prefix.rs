//! Tests of the isolation of prefix hashes.

use quickcheck::quickcheck;
use railtack_core::{CacheNamespace, PrefixChain, WeightsVersion};

const BLOCK_TOKENS: u32 = 4;

fn namespace(tenant: &str, model: &str, version: u32, adapter: Option<&str>) -> CacheNamespace {
    CacheNamespace::derive(
        &tenant.into(),
        &model.into(),
        WeightsVersion(version),
        adapter,
    )
}

fn chain(namespace: CacheNamespace, text: &str) -> PrefixChain {
    PrefixChain::from_text(namespace, text, BLOCK_TOKENS)
}

quickcheck! {
    fn namespaces_differ_when_any_part_differs(
        left: (String, String, u32, Option<String>),
        right: (String, String, u32, Option<String>)
    ) -> bool {
        let derive = |parts: &(String, String, u32, Option<String>)| {
            namespace(&parts.0, &parts.1, parts.2, parts.3.as_deref())
        };
        (left == right) == (derive(&left) == derive(&right))
    }

    fn different_tenants_share_no_block(left: String, right: String, text: String) -> bool {
        let left_chain = chain(namespace(&left, "model", 1, None), &text);
        let right_chain = chain(namespace(&right, "model", 1, None), &text);
        let shared = left_chain.blocks.iter().any(|block| right_chain.blocks.contains(block));
        shared == (left == right && !left_chain.blocks.is_empty())
    }

    fn chains_share_exactly_the_blocks_of_the_common_prefix(prefix: String, left: String, right: String) -> bool {
        let namespace = namespace("tenant", "model", 1, None);
        let left = chain(namespace, &format!("{prefix}{left}"));
        let right = chain(namespace, &format!("{prefix}{right}"));
        let agreed = left.blocks.iter().zip(&right.blocks).take_while(|(a, b)| a == b).count();
        let later_agree = left.blocks.iter().zip(&right.blocks).skip(agreed).any(|(a, b)| a == b);
        let block_bytes = BLOCK_TOKENS as usize * railtack_core::prefix::BYTES_PER_TOKEN;
        agreed >= (prefix.len() / block_bytes).min(left.blocks.len()) && !later_agree
    }
}

#[test]
fn moving_text_between_fields_changes_the_namespace() {
    assert_ne!(namespace("ab", "c", 1, None), namespace("a", "bc", 1, None));
    assert_ne!(
        namespace("a", "b", 1, Some("")),
        namespace("a", "b", 1, None)
    );
}
