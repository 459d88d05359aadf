//! Limits, groups and validation of disruption budgets.
use disruption::{DisruptionBudget, DisruptionBudgets, GroupBy, Label, ResourceId, ResourceKind};
use std::collections::BTreeSet;

fn budget(
    max_unavailable: Option<u32>,
    max_unavailable_per_mille: Option<u32>,
    min_available: u32,
) -> DisruptionBudget {
    DisruptionBudget {
        name: "b".into(),
        kind: ResourceKind::Balancer,
        group_by: GroupBy::Zone,
        group: None,
        max_unavailable,
        max_unavailable_per_mille,
        min_available,
    }
}

#[test]
fn limit_is_the_smaller_maximum_and_keeps_min_available() {
    assert_eq!(budget(Some(3), Some(100), 0).limit(20), 2);
    assert_eq!(budget(Some(3), Some(500), 0).limit(20), 3);
    assert_eq!(budget(None, Some(333), 0).limit(9), 2, "rounded down");
    assert_eq!(budget(Some(5), None, 18).limit(20), 2);
    assert_eq!(budget(Some(5), None, 30).limit(20), 0);
    assert_eq!(budget(None, Some(1000), 0).limit(u32::MAX), u32::MAX);
}

#[test]
fn invalid_budgets_and_unsatisfiable_groups_are_found() {
    let faulty_field = |budget: DisruptionBudget| {
        let budgets = DisruptionBudgets { budgets: vec![budget] };
        budgets.validate().expect_err("invalid").fault.field()
    };
    assert_eq!(faulty_field(budget(Some(0), None, 0)), "most");
    assert_eq!(faulty_field(budget(None, Some(0), 0)), "share");
    assert_eq!(faulty_field(budget(None, None, 0)), "most");
    assert_eq!(faulty_field(DisruptionBudget { group_by: GroupBy::Pool, ..budget(Some(1), None, 0) }), "per");
    assert_eq!(
        faulty_field(DisruptionBudget {
            group: Some("a".into()),
            group_by: GroupBy::Fleet,
            ..budget(Some(1), None, 0)
        }),
        "only"
    );
    let duplicate = DisruptionBudgets { budgets: vec![budget(Some(1), None, 0), budget(Some(2), None, 0)] };
    assert_eq!(duplicate.validate().expect_err("duplicate name").index, 1);
    // Each budget is valid by itself, but the only resource of the group must always be available.
    let budgets = DisruptionBudgets {
        budgets: vec![
            budget(Some(1), None, 0),
            DisruptionBudget { name: "c".into(), ..budget(None, None, 1) },
        ],
    };
    assert_eq!(budgets.validate(), Ok(()));
    let labels = BTreeSet::from([Label::new("zone", "a")]);
    let resource = ResourceId::balancer("n1");
    let found = budgets.unsatisfiable_groups([(&resource, &labels)].into_iter());
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].reason.contains("floor of 1 is all of its 1"), "{found:?}");
}

#[test]
fn a_resource_is_in_a_group_for_each_of_its_pools() {
    let by_pool = DisruptionBudget {
        kind: ResourceKind::Upstream,
        group_by: GroupBy::Pool,
        ..budget(Some(1), None, 0)
    };
    let labels =
        BTreeSet::from([Label::new("pool", "dues"), Label::new("pool", "web"), Label::new("zone", "a")]);
    assert_eq!(by_pool.groups(ResourceKind::Upstream, &labels).collect::<Vec<_>>(), ["dues", "web"]);
    assert_eq!(by_pool.groups(ResourceKind::Balancer, &labels).count(), 0);
    let one_pool = DisruptionBudget { group: Some("web".into()), ..by_pool };
    assert_eq!(one_pool.groups(ResourceKind::Upstream, &labels).collect::<Vec<_>>(), ["web"]);
}
